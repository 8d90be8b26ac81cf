/// Tests of the platform adapter: documents it decodes and encodes, and the error ids of malformed
/// ones.
#include <eelgrassrail/core/exception.hpp>
#include <eelgrassrail/router/entry_check.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <eelgrassrail_platform/decode.hpp>
#include <eelgrassrail_platform/wire_names.hpp>
#include <random>
#include <string_view>
#include <vector>

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
    CPPUNIT_TEST(odd_entries_are_refused);
    CPPUNIT_TEST(an_entry_has_a_callable_address_and_names);
    CPPUNIT_TEST(records_are_read);
    CPPUNIT_TEST(a_malformed_record_hides_no_other);
    CPPUNIT_TEST(a_key_that_is_not_text_hides_no_other);
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

    /// Guards against entries that end the process, or are read as something else than they say:
    /// very deeply nested, with numbers too large, with fields missing or of another type.
    void odd_entries_are_refused()
    {
        constexpr std::size_t deep = 100'000;
        const auto with = [](std::string_view part, std::string_view other)
        {
            std::string text = entry_text;
            CPPUNIT_ASSERT(text.find(part) != std::string::npos);
            return text.replace(text.find(part), part.size(), other);
        };
        const std::vector<std::string> texts{
            std::string(deep, '['),
            with(R"("slots":3)", R"("slots":)" + std::string(deep, '[')),
            with(R"("slots":3)", R"("slots":1e300)"),
            with(R"("slots":3)", R"("slots":4294967296)"),
            with(R"("slots":3)", R"("slots":-1)"),
            with(R"("slots":3)", R"("slots":"3")"),
            with("1700000000000", "1e300"),
            with("1700000000000", "18446744073709551616"),
            with("1700000000000", "0.5"),
            with(R"("seq":4)", R"("seq":"4")"),
            with(R"("seq":4,)", ""),
            with(R"("version":"v1",)", ""),
            with(R"("cold_remaining":"1.5s",)", ""),
            with("1.5s", "1e300s"),
            with("1.5s", "-1ms")};
        for (const auto& text : texts)
        {
            const auto id = error_id_of([&] { return platform::decode_worker({1, "x", text}); });
            CPPUNIT_ASSERT_MESSAGE(text.substr(0, 200), id == 301 || id == 303);
        }
    }

    /// Guards against entries that are well formed but can not be of a worker: requests to an id
    /// with a line break would be malformed, and a port out of range can not be called.
    void an_entry_has_a_callable_address_and_names()
    {
        constexpr std::size_t long_bytes = 60'000;
        const auto entry = platform::decode_worker({7, "i-1", entry_text}).entry;
        CPPUNIT_ASSERT_EQUAL(std::string(), find_defect(entry));
        for (const auto& address :
             {std::string("10.0.0.1:70000"), std::string("10.0.0.1:0"), std::string("10.0.0.1"),
              std::string("10.0.0.1:80 "), std::string("nowhere:80"), std::string(),
              std::string(long_bytes, '1') + ":80"})
        {
            auto odd = entry;
            odd.address = address;
            CPPUNIT_ASSERT(!find_defect(odd).empty());
        }
        for (const auto& name : {std::string(), std::string("a\r\nX: y"), std::string("a b"),
                                 std::string("\xff"), std::string(long_bytes, 'a')})
        {
            auto odd = entry;
            odd.life.id = name;
            CPPUNIT_ASSERT(!find_defect(odd).empty());
            odd = entry;
            odd.service = name;
            CPPUNIT_ASSERT(!find_defect(odd).empty());
            odd = entry;
            odd.zone = name;
            CPPUNIT_ASSERT(!find_defect(odd).empty());
        }
        auto large = entry;
        large.slots = 4'000'000'000;
        CPPUNIT_ASSERT(!find_defect(large).empty());
        large = entry;
        large.cold_ms = 4'000'000'000;
        CPPUNIT_ASSERT(!find_defect(large).empty());
    }

    /// Guards against a reader that stays in front of a record that some writer has malformed.
    void a_malformed_record_hides_no_other()
    {
        const auto body = big_endian(13, 8) + big_endian(3, 8) + big_endian(0, 4) +
                          big_endian(3, 4) + "\xffxy" + record_bytes("k", "value");
        const auto page = platform::decode_records(body, 10);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), page.records.size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(12), page.records[0].offset);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(13), page.end);
    }

    void a_key_that_is_not_text_hides_no_other()
    {
        std::string after;
        const auto page = platform::decode_newest(
            "{\"items\":[{\"key\":\"\xff\",\"value\":\"YWI=\",\"offset\":4},"
            "{\"key\":\"k\",\"value\":\"YWI=\",\"offset\":5}],"
            "\"has_more\":false,\"end_offset\":6}",
            after);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), page.records.size());
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
