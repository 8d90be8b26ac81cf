/// Checks of a desired state before it is sent.
#include <eelgrassrail/core/exception.hpp>
#include <eelgrassrail/routing/route_check.hpp>
#include <eelgrassrail/routing/route_table.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <cstdio>
#include <eelgrassrail_platform/check_configuration.hpp>
#include <eelgrassrail_platform/decode.hpp>
#include <fstream>
#include <sstream>
#include <string>
#include <vector>

using namespace eelgrassrail;

namespace
{

route make_route(const std::string& prefix, const std::string& service)
{
    route item;
    item.name = prefix;
    item.host = "h";
    item.path_prefix = prefix;
    item.objective = millis(500);
    item.timeout = millis(1'000);
    item.max_attempts = 2;
    item.services = {{service, 1.0}};
    return item;
}

service_settings make_service(const std::string& name)
{
    service_settings result;
    result.name = name;
    return result;
}

/// A desired state without findings.
route_table make_table()
{
    route_table table;
    table.version = 5;
    table.routes = {make_route("/a/", "s"), make_route("/b/", "t")};
    table.services = {make_service("s"), make_service("t")};
    table.max_header_bytes = 16'384;
    table.max_body_bytes = 1'048'576;
    table.header_timeout = millis(3'000);
    table.idle_timeout = millis(15'000);
    return table;
}

/// Kinds and subjects, as "KIND SUBJECT" separated by commas.
std::string text(const std::vector<route_finding>& findings)
{
    std::string result;
    for (const auto& item : findings)
        result +=
            (result.empty() ? "" : ", ") + std::string(name_of(item.kind)) + " " + item.subject;
    return result;
}

template <class Change>
std::string check_changed(Change change)
{
    auto table = make_table();
    change(table);
    return text(check_routes(table));
}

template <class Change>
std::string compare_changed(Change change)
{
    auto table = make_table();
    table.version = 6;
    change(table);
    return text(compare_routes(table, make_table()));
}

const std::string document =
    R"({"version":"r5","limits":{},"listeners":[{"host":"h","rules":[)"
    R"({"name":"a","kind":"safe","match":{"path_prefix":"/a/"},"action":{"service":"s",)"
    R"("timeout":"1000ms","max_attempts":2}}]}],"clusters":[{"name":"s"}]})";

std::string replaced(std::string whole, const std::string& part, const std::string& by)
{
    return whole.replace(whole.find(part), part.size(), by);
}

/// A file that is removed at the end of a test.
class temporary_file
{
  public:
    explicit temporary_file(const std::string& text)
        : m_path("unit-route_check-" + std::to_string(next_number++) + ".json")
    {
        std::ofstream(m_path) << text;
    }
    ~temporary_file() { std::remove(m_path.c_str()); }
    temporary_file(const temporary_file&) = delete;
    temporary_file& operator=(const temporary_file&) = delete;

    [[nodiscard]] const std::string& path() const { return m_path; }

  private:
    static inline int next_number = 0;
    std::string m_path;
};

struct report
{
    platform::check_status status;
    std::string out;
    std::string err;
};

report run(const platform::check_options& options)
{
    std::ostringstream out;
    std::ostringstream err;
    const auto status = platform::check_configuration(options, out, err);
    return {status, out.str(), err.str()};
}

} // namespace

class unit_route_check : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(unit_route_check);
    CPPUNIT_TEST(a_clean_state_has_no_findings);
    CPPUNIT_TEST(errors_are_found);
    CPPUNIT_TEST(entries_without_effect_are_found);
    CPPUNIT_TEST(contradicting_limits_are_found);
    CPPUNIT_TEST(all_faults_are_reported);
    CPPUNIT_TEST(differences_are_found);
    CPPUNIT_TEST(a_version_must_rise);
    CPPUNIT_TEST(values_are_checked_as_written);
    CPPUNIT_TEST(files_are_checked);
    CPPUNIT_TEST_SUITE_END();

  public:
    void a_clean_state_has_no_findings()
    {
        CPPUNIT_ASSERT_EQUAL(std::string(), check_changed([](route_table&) {}));
        // A longer prefix of the same host, and the same prefix of another one, hide nothing.
        CPPUNIT_ASSERT_EQUAL(std::string(),
                             check_changed(
                                 [](route_table& table)
                                 {
                                     table.routes.push_back(make_route("/a/long/", "s"));
                                     table.routes.push_back(make_route("/a/", "s"));
                                     table.routes.back().host = "other";
                                 }));
    }

    void errors_are_found()
    {
        CPPUNIT_ASSERT_EQUAL(std::string("unknown_service h/a/"),
                             check_changed(
                                 [](route_table& table) {
                                     table.routes[0].services.push_back({"x", 1});
                                 }));
        CPPUNIT_ASSERT_EQUAL(
            std::string("no_positive_weight h/b/, unused_service t"),
            check_changed([](route_table& table) { table.routes[1].services[0].weight = 0; }));
        CPPUNIT_ASSERT_EQUAL(
            std::string("no_positive_weight h/b/, unused_service t"),
            check_changed([](route_table& table) { table.routes[1].services.clear(); }));
    }

    /// A service that only a route without effect uses gets no requests either.
    void entries_without_effect_are_found()
    {
        CPPUNIT_ASSERT_EQUAL(
            std::string("shadowed_route h/a/, unused_service t"),
            check_changed([](route_table& table) { table.routes[1].path_prefix = "/a/"; }));
        CPPUNIT_ASSERT_EQUAL(
            std::string("prefix_without_slash hb/, unused_service t"),
            check_changed([](route_table& table) { table.routes[1].path_prefix = "b/"; }));
        CPPUNIT_ASSERT_EQUAL(
            std::string("unused_service u"),
            check_changed([](route_table& table) { table.services.push_back(make_service("u")); }));
        CPPUNIT_ASSERT_EQUAL(
            std::string("repeated_service s"),
            check_changed([](route_table& table) { table.services.push_back(make_service("s")); }));
    }

    void contradicting_limits_are_found()
    {
        CPPUNIT_ASSERT_EQUAL(
            std::string("objective_above_timeout h/a/"),
            check_changed([](route_table& table) { table.routes[0].objective = millis(1'001); }));
        CPPUNIT_ASSERT_EQUAL(
            std::string("zero_timeout h/a/"),
            check_changed([](route_table& table)
                          { table.routes[0].timeout = table.routes[0].objective = millis(0); }));
        CPPUNIT_ASSERT_EQUAL(
            std::string("zero_attempts h/a/"),
            check_changed([](route_table& table) { table.routes[0].max_attempts = 0; }));
        CPPUNIT_ASSERT_EQUAL(std::string(), check_changed([](route_table& table)
                                                          { table.routes[0].max_attempts = 100; }));
        CPPUNIT_ASSERT_EQUAL(
            std::string("too_many_attempts h/a/"),
            check_changed([](route_table& table) { table.routes[0].max_attempts = 101; }));
        CPPUNIT_ASSERT_EQUAL(std::string("zero_header_limit max_header_bytes"),
                             check_changed([](route_table& table) { table.max_header_bytes = 0; }));
        CPPUNIT_ASSERT_EQUAL(
            std::string("header_limit_above_body_limit max_header_bytes"),
            check_changed([](route_table& table) { table.max_body_bytes = 16'383; }));
        CPPUNIT_ASSERT_EQUAL(
            std::string("zero_header_timeout header_timeout"),
            check_changed([](route_table& table) { table.header_timeout = millis(0); }));
        CPPUNIT_ASSERT_EQUAL(
            std::string("idle_timeout_below_header_timeout idle_timeout"),
            check_changed([](route_table& table) { table.idle_timeout = millis(2'999); }));
    }

    void all_faults_are_reported()
    {
        CPPUNIT_ASSERT_EQUAL(std::string("zero_header_limit max_header_bytes, zero_attempts h/a/, "
                                         "unknown_service h/b/, unused_service t"),
                             check_changed(
                                 [](route_table& table)
                                 {
                                     table.max_header_bytes = 0;
                                     table.routes[0].max_attempts = 0;
                                     table.routes[1].services[0].service = "x";
                                 }));
    }

    void differences_are_found()
    {
        CPPUNIT_ASSERT_EQUAL(std::string(), compare_changed([](route_table&) {}));
        CPPUNIT_ASSERT_EQUAL(std::string("limits_changed limits"),
                             compare_changed([](route_table& table) { ++table.max_body_bytes; }));
        CPPUNIT_ASSERT_EQUAL(
            std::string("route_added h/c/, route_removed h/b/, service_added u, service_removed t"),
            compare_changed(
                [](route_table& table)
                {
                    table.routes[1] = make_route("/c/", "u");
                    table.services[1] = make_service("u");
                }));
        for (const auto change : {+[](route& item) { item.name = "x"; },
                                  +[](route& item) { item.services[0].weight = 2; },
                                  +[](route& item) {
                                      item.services.push_back({"t", 1});
                                  },
                                  +[](route& item) { item.is_idempotent = true; },
                                  +[](route& item) { item.priority = 1; },
                                  +[](route& item) { item.objective = millis(1); },
                                  +[](route& item) { item.timeout = millis(1); },
                                  +[](route& item) { item.max_attempts = 1; }})
            CPPUNIT_ASSERT_EQUAL(
                std::string("route_changed h/a/"),
                compare_changed([&](route_table& table) { change(table.routes[0]); }));
        for (const auto change : {+[](service_settings& item) { item.health_path = "/x"; },
                                  +[](service_settings& item) { item.max_connections = 1; },
                                  +[](service_settings& item) { item.is_sharded = true; },
                                  +[](service_settings& item) { item.cold_per_s = 1; },
                                  +[](service_settings& item) { item.warm_up_time = millis(1); }})
            CPPUNIT_ASSERT_EQUAL(
                std::string("service_changed s"),
                compare_changed([&](route_table& table) { change(table.services[0]); }));
    }

    void a_version_must_rise()
    {
        for (const unsigned version : {4U, 5U})
            CPPUNIT_ASSERT_EQUAL(
                std::string("version_not_higher version"),
                compare_changed([&](route_table& table) { table.version = version; }));
    }

    /// Guards against a check of values that the decoder has corrected, and against a decoder that
    /// does not correct them for the processes any more.
    void values_are_checked_as_written()
    {
        const auto written = replaced(document, R"("max_attempts":2)", R"("max_attempts":0)");
        CPPUNIT_ASSERT_EQUAL(std::string("zero_attempts h/a/"),
                             text(check_routes(platform::decode_uncorrected_routes(written))));
        CPPUNIT_ASSERT_EQUAL(1U, platform::decode_routes(written).routes[0].max_attempts);
        const auto split =
            replaced(document, R"("service":"s")", R"("split":[{"service":"s","weight":0}])");
        CPPUNIT_ASSERT_EQUAL(std::string("no_positive_weight h/a/, unused_service s"),
                             text(check_routes(platform::decode_uncorrected_routes(split))));
        CPPUNIT_ASSERT_THROW(static_cast<void>(platform::decode_routes(split)), platform_error);
    }

    void files_are_checked()
    {
        using enum platform::check_status;
        const temporary_file valid(document);
        const temporary_file later(replaced(replaced(document, "r5", "r6"), "/a/", "/b/"));
        const temporary_file invalid("{");
        const temporary_file empty("");
        CPPUNIT_ASSERT(run({valid.path(), "", false}).status == platform::check_status::clean);
        // Differences are no faults; a version that is not higher is one.
        const auto differing = run({later.path(), valid.path(), false});
        CPPUNIT_ASSERT(differing.status == platform::check_status::clean);
        CPPUNIT_ASSERT_EQUAL(std::string("difference route_added h/b/: a\n"
                                         "difference route_removed h/a/: a\n"
                                         "findings: 0, differences: 2\n"),
                             differing.out);
        const auto earlier = run({valid.path(), later.path(), true});
        CPPUNIT_ASSERT(earlier.status == has_findings);
        CPPUNIT_ASSERT(earlier.out.starts_with(
            R"({"findings":[{"class":"error","kind":"version_not_higher","subject":"version",)"));
        for (const auto* file : {&invalid, &empty})
        {
            const auto seen = run({file->path(), "", false});
            CPPUNIT_ASSERT(seen.status == has_findings);
            CPPUNIT_ASSERT(seen.out.starts_with("error invalid_document"));
            CPPUNIT_ASSERT(run({valid.path(), file->path(), false}).status == unreadable);
        }
        for (const auto& options :
             {platform::check_options{"no-such-file.json", "", false},
              platform::check_options{valid.path(), "no-such-file.json", false},
              platform::check_options{".", "", false}})
        {
            const auto seen = run(options);
            CPPUNIT_ASSERT(seen.status == unreadable);
            CPPUNIT_ASSERT(seen.out.empty() && !seen.err.empty());
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(unit_route_check);
