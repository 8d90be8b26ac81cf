/// Tests of decoding ticket files: errors name the field.
#include "support.hpp"
#include <eelgrassrail/core/exception.hpp>

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value_from.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <functional>

using namespace eelgrassrail;
using namespace eelgrassrail::test;

namespace
{

/// A valid ticket file to which `change` was applied.
std::string changed(const std::function<void(boost::json::object&)>& change)
{
    auto value = boost::json::value_from(make_ticket(make_service("orders", {"zone-a"})));
    value.as_object().erase("base");
    change(value.as_object());
    return boost::json::serialize(value);
}

std::string error_of(const std::string& text)
{
    try
    {
        static_cast<void>(decode_ticket_file(text));
    }
    catch (const ticket_error& e)
    {
        return e.what();
    }
    return "accepted";
}

boost::json::object& service(boost::json::object& file)
{
    return file["services"].as_array()[0].as_object();
}

} // namespace

class unit_log_record : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(unit_log_record);
    CPPUNIT_TEST(a_valid_file_is_read);
    CPPUNIT_TEST(errors_of_bad_files);
    CPPUNIT_TEST_SUITE_END();

  public:
    void a_valid_file_is_read()
    {
        const auto value = decode_ticket_file(changed([](auto&) {}));
        CPPUNIT_ASSERT_EQUAL(std::string("orders"), value.services[0].name);
    }

    void errors_of_bad_files()
    {
        const std::vector<std::string> files{
            "not json",
            changed([](auto& file) { file.erase("author"); }),
            changed([](auto& file) { file["colour"] = "red"; }),
            changed([](auto& file) { file["base"] = 4; }),
            changed([](auto& file) { service(file)["slots"] = -1; }),
            changed([](auto& file) { service(file)["slots"] = 0; }),
            changed([](auto& file) { service(file)["workers"].as_array().clear(); }),
            changed([](auto& file)
                    { service(file)["workers"].as_array()[0].as_object()["weight"] = "much"; }),
            changed([](auto& file)
                    { service(file)["workers"].as_array()[0].as_object()["zone"] = "Zone A"; }),
            changed([](auto& file) { service(file)["evacuated_zones"] = {"zone-q"}; }),
            changed([](auto& file)
                    { file["services"].as_array().push_back(file["services"].as_array()[0]); }),
            changed([](auto& file) { service(file)["lease_ms"] = 5; }),
        };
        std::string session;
        for (const auto& text : files)
            session += error_of(text) + "\n";
        check_golden("bad-ticket-files", session);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(unit_log_record);
