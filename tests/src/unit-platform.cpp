/// Tests of the platform adapter: documents it decodes and encodes, and the error ids of malformed
/// ones.
#include <eelgrassrail/core/exception.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <eelgrassrail_platform/decode.hpp>
#include <eelgrassrail_platform/wire_names.hpp>
#include <random>

using namespace eelgrassrail;

namespace
{

const std::string state_text =
    R"({"version":"r12","limits":{"max_header_bytes":16384,"max_body_bytes":1000,)"
    R"("header_timeout":"3000ms","idle_timeout":"15s"},"listeners":[{"host":"h.example","rules":[)"
    R"({"name":"r","kind":"safe","target_latency":"600ms","priority":2,"match":{"path_prefix":"/a/"},)"
    R"("action":{"split":[{"service":"s","weight":90},{"service":"t","weight":10}],)"
    R"("timeout":"2000ms","max_attempts":2}}]}],"clusters":[{"name":"s","health_path":"/health",)"
    R"("max_connections":130,"sharded":true,"warm":"3s"},{"name":"t"}],"later":true})";

const std::string entry_text =
    R"({"service":"s","address":"10.0.0.1:80","zone":"z","version":"v1","slots":3,)"
    R"("state":"ready","cold_remaining":"1.5s","seq":4,"born":1700000000000})";

std::string big_endian(std::uint64_t number, int bytes)
{
    std::string text;
    for (int n = bytes - 1; n >= 0; --n)
        text.push_back(static_cast<char>(number >> (8 * n)));
    return text;
}

std::string record_bytes(const std::string& key, const std::string& value)
{
    return big_endian(1 + key.size() + value.size(), 4) + static_cast<char>(key.size()) + key +
           value;
}

template <class Call>
int error_id_of(Call call)
{
    try
    {
        static_cast<void>(call());
    }
    catch (const platform_error& e)
    {
        return e.id();
    }
    return 0;
}

std::string without_part(std::string text, const std::string& part)
{
    return text.erase(text.find(part), part.size());
}

} // namespace

class unit_platform : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(unit_platform);
    CPPUNIT_TEST(times_have_units);
    CPPUNIT_TEST(a_desired_state_is_read);
    CPPUNIT_TEST(a_desired_state_without_a_needed_field_is_refused);
    CPPUNIT_TEST(a_worker_entry_is_read);
    CPPUNIT_TEST(foreign_entries_are_refused);
    CPPUNIT_TEST(records_are_read);
    CPPUNIT_TEST(torn_records_are_refused);
    CPPUNIT_TEST(newest_records_are_read);
    CPPUNIT_TEST(mutated_documents_never_crash);
    CPPUNIT_TEST(grants_are_written);
    CPPUNIT_TEST_SUITE_END();

  public:
    void times_have_units()
    {
        CPPUNIT_ASSERT(platform::parse_duration("1500ms") == millis(1'500));
        CPPUNIT_ASSERT(platform::parse_duration("2.5s") == millis(2'500));
        for (const auto* text : {"", "5", "5m", "ms", "-1s", "1 s", "nans", "infs"})
            CPPUNIT_ASSERT_EQUAL(301, error_id_of([&] { return platform::parse_duration(text); }));
    }

    void a_desired_state_is_read()
    {
        const auto table = platform::decode_routes(state_text);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(12), table.version);
        CPPUNIT_ASSERT(table.idle_timeout == millis(15'000));
        const auto* route = table.find("h.example", "/a/x");
        CPPUNIT_ASSERT(route != nullptr && route->is_idempotent);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), route->services.size());
        CPPUNIT_ASSERT_EQUAL(2U, route->max_attempts);
        CPPUNIT_ASSERT(table.find_service("s")->is_sharded);
        CPPUNIT_ASSERT(!table.find_service("t")->is_sharded);
    }

    void a_desired_state_without_a_needed_field_is_refused()
    {
        for (const auto* part : {R"("version":"r12",)", R"("kind":"safe",)",
                                 R"("timeout":"2000ms",)", R"("match":{"path_prefix":"/a/"},)"})
            CPPUNIT_ASSERT_EQUAL(
                302, error_id_of(
                         [&] { return platform::decode_routes(without_part(state_text, part)); }));
        CPPUNIT_ASSERT_EQUAL(302, error_id_of([] { return platform::decode_routes("[]"); }));
        CPPUNIT_ASSERT_EQUAL(302, error_id_of([] { return platform::decode_routes(""); }));
    }

    void a_worker_entry_is_read()
    {
        const auto change = platform::decode_worker({7, "i-1", entry_text});
        CPPUNIT_ASSERT_EQUAL(std::string("i-1"), change.entry.life.id);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1'700'000'000'000), change.entry.life.born_ms);
        CPPUNIT_ASSERT_EQUAL(1'500U, change.entry.cold_ms);
        CPPUNIT_ASSERT(!change.is_removed);
        CPPUNIT_ASSERT(platform::decode_worker({8, "i-1", ""}).is_removed);
    }

    void foreign_entries_are_refused()
    {
        for (const auto& text : {without_part(entry_text, R"("address":"10.0.0.1:80",)"),
                                 without_part(entry_text, R"(,"born":1700000000000)"),
                                 without_part(entry_text, R"("state":"ready",)"), std::string("{}"),
                                 std::string("\xff\xfe"), std::string(R"({"service":5})")})
            CPPUNIT_ASSERT_EQUAL(303, error_id_of(
                                          [&] {
                                              return platform::decode_worker({1, "x", text});
                                          }));
    }

    void records_are_read()
    {
        const auto body = big_endian(12, 8) + big_endian(3, 8) + record_bytes("k", "value") +
                          record_bytes("gone", "");
        const auto page = platform::decode_records(body, 10);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), page.records.size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(11), page.records[1].offset);
        CPPUNIT_ASSERT_EQUAL(std::string("value"), page.records[0].value);
        CPPUNIT_ASSERT(page.records[1].value.empty());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(12), page.end);
    }

    void torn_records_are_refused()
    {
        const auto whole = big_endian(12, 8) + big_endian(3, 8) + record_bytes("k", "value");
        for (std::size_t length = 0; length < whole.size(); ++length)
            if (length != 16) // the header alone is a valid page without records
                CPPUNIT_ASSERT_EQUAL(
                    304, error_id_of(
                             [&] { return platform::decode_records(whole.substr(0, length), 0); }));
    }

    void newest_records_are_read()
    {
        std::string after;
        const auto page = platform::decode_newest(
            R"({"items":[{"key":"k","value":"YWI=","offset":4}],"has_more":true,"end_offset":6})",
            after);
        CPPUNIT_ASSERT_EQUAL(std::string("ab"), page.records[0].value);
        CPPUNIT_ASSERT_EQUAL(std::string("k"), after);
        CPPUNIT_ASSERT_EQUAL(305,
                             error_id_of([&] { return platform::decode_newest("{}", after); }));
    }

    void mutated_documents_never_crash()
    {
        std::mt19937 random(17);
        std::uniform_int_distribution<int> byte(0, 255);
        const auto mutate = [&](std::string text)
        {
            std::uniform_int_distribution<std::size_t> place(0, text.size() - 1);
            for (int n = 0; n < 3; ++n)
                text[place(random)] = static_cast<char>(byte(random));
            return text;
        };
        std::string after;
        const auto pages = big_endian(12, 8) + big_endian(3, 8) + record_bytes("key", entry_text);
        for (int n = 0; n < 3'000; ++n)
        {
            error_id_of([&] { return platform::decode_routes(mutate(state_text)); });
            error_id_of([&] { return platform::decode_worker({1, "i", mutate(entry_text)}); });
            error_id_of([&] { return platform::decode_records(mutate(pages), 0); });
            error_id_of(
                [&]
                {
                    return platform::decode_newest(
                        mutate(
                            R"({"items":[{"key":"k","value":"YWI=","offset":4}],"has_more":false,"end_offset":6})"),
                        after);
                });
        }
    }

    void grants_are_written()
    {
        const auto names = platform::wire_names();
        const auto call = names.grant({4'096, 8'191, 12, millis(4'000), "5c0e"});
        CPPUNIT_ASSERT_EQUAL(std::string("/api/grant"), call.target);
        CPPUNIT_ASSERT_EQUAL(
            std::string(
                R"({"from":4096,"to":8191,"fence":12,"hold_time":"4000ms","handover":"5c0e"})"),
            call.body);
        CPPUNIT_ASSERT_EQUAL(std::string(R"({"from":1,"to":2,"fence":3})"),
                             names.release({1, 2, 3, {}, {}}).body);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(unit_platform);
