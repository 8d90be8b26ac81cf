/// Stand-in for backend servers: several workers in one process, each with its own address.
///
/// A worker accepts grants with fencing tokens, checks the tokens of requests if --checks_tokens is
/// set, limits concurrent runs to its slots, honours Deadline-Ms and records its runs in a journal
/// (GET /journal). POST /switch sets faults. A request whose body contains `crash` terminates the
/// process.
#include <eelgrassrail/core/identity.hpp>
#include <eelgrassrail/core/json_reader.hpp>
#include <eelgrassrail/http/listener.hpp>
#include <eelgrassrail/settings/flags.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <gflags/gflags.h>

#include <charconv>
#include <cstdlib>
#include <optional>
#include <set>

DEFINE_string(workers, "", "ID@IP:PORT,ID@IP:PORT");
DEFINE_bool(checks_tokens, false, "refuse requests without a current grant");
DEFINE_int32(run_ms, 2, "duration of one run, in ms");
DEFINE_int32(slots, 3,
             "concurrent runs of one worker; requests beyond this are refused before they run");
DEFINE_int32(
    cold_ms, 0,
    "extra duration of a run right after the start, in ms; decreases linearly to 0 over 2 s");

namespace
{

using namespace eelgrassrail;
namespace asio = boost::asio;

struct fault_settings
{
    bool draining{};
    bool shedding{};          ///< refuses all requests; the health check still succeeds
    bool wrong_answers{};     ///< answers carry a wrong Request-Id
    std::uint32_t extra_ms{}; ///< added to the duration of each run
};
BOOST_DESCRIBE_STRUCT(fault_settings, (), (draining, shedding, wrong_answers, extra_ms))

struct run_record
{
    std::string key;
    std::string idempotency_key;
    std::string method;
    std::string token;
};
BOOST_DESCRIBE_STRUCT(run_record, (), (key, idempotency_key, method, token))

struct grant_body
{
    std::uint64_t epoch{};
    std::uint64_t counter{};
    std::uint64_t length_ms{};
    std::vector<slice_index> slices;
};
BOOST_DESCRIBE_STRUCT(grant_body, (), (epoch, counter, length_ms, slices))

http_reply not_run(const char* why, bool draining)
{
    constexpr unsigned unavailable = 503;
    http_reply reply{unavailable, {{"Not-Run", "true"}}, std::string(why) + "\n"};
    if (draining)
        reply.fields.push_back({"Draining", "true"});
    return reply;
}

std::uint64_t number_field(const http_call& call, std::string_view name)
{
    const auto text = find_field(call.fields, name).value_or("0");
    std::uint64_t number = 0;
    std::from_chars(text.data(), text.data() + text.size(), number);
    return number;
}

class worker
{
  public:
    worker(asio::io_context& context, std::string id, const std::string& address)
        : m_context(context)
        , m_id(std::move(id))
        , m_started(boot_clock::now())
        , m_listener(
              context.get_executor(), parse_tcp_address(address), {},
              [this](http_call call, const auto&) { return serve(std::move(call)); },
              [](request_defect) {
                  return http_reply{400, {}, {}};
              })
    {
        m_listener.start();
    }

  private:
    asio::awaitable<http_reply> serve(http_call call)
    {
        if (auto reply = handle_control(call))
            co_return std::move(*reply);
        if (const auto* why = refusal_reason(call))
            co_return not_run(why, m_faults.draining);
        co_return co_await run(std::move(call));
    }

    /// Answers calls of the router and of tests. Empty if the call is a caller's request.
    std::optional<http_reply> handle_control(const http_call& call)
    {
        const auto path = path_of(call.target);
        if (path == "/healthz")
        {
            http_reply reply{200, {}, "ok\n"};
            if (m_faults.draining)
                reply.fields.push_back({"Draining", "true"});
            return reply;
        }
        if (path == "/load")
            return http_reply{200, {}, std::to_string(m_running) + "\n"};
        if (path == "/journal")
            return http_reply{
                200, {}, boost::json::serialize(boost::json::value_from(m_journal)) + "\n"};
        if (path == "/switch")
        {
            m_faults = json_reader("switch").read<fault_settings>(boost::json::parse(call.body));
            return http_reply{200, {}, "{}"};
        }
        if (path == "/eelgrassrail/grant")
            return accept_grant(call.body);
        return std::nullopt;
    }

    http_reply accept_grant(const std::string& body)
    {
        const auto grant = json_reader("grant").read<grant_body>(boost::json::parse(body));
        const fencing_token token{grant.epoch, grant.counter};
        constexpr unsigned conflict = 409;
        if (token < m_token)
            return {conflict, {}, "the fencing token is older than that of the newest grant\n"};
        m_token = token;
        m_granted_until = boot_clock::now() + millis(grant.length_ms);
        m_slices = {grant.slices.begin(), grant.slices.end()};
        return {200, {}, "{}"};
    }

    [[nodiscard]] const char* refusal_reason(const http_call& call) const
    {
        if (m_faults.draining)
            return "draining";
        if (m_faults.shedding)
            return "shedding load";
        if (m_running >= FLAGS_slots)
            return "no free slot";
        if (!FLAGS_checks_tokens)
            return nullptr;
        const auto token = std::to_string(m_token.epoch) + ".";
        const bool has_token =
            find_field(call.fields, "Fencing-Token").value_or("").starts_with(token);
        if (!has_token || boot_clock::now() >= m_granted_until)
            return "no unexpired grant of the current epoch";
        const auto slice = static_cast<slice_index>(number_field(call, "Slice"));
        return m_slices.contains(slice) ? nullptr : "the slice is not granted to this worker";
    }

    asio::awaitable<http_reply> run(http_call call)
    {
        const auto deadline = millis(number_field(call, "Deadline-Ms"));
        if (call.body.find("crash") != std::string::npos)
            std::_Exit(1);
        write_journal(call);
        ++m_running;
        asio::steady_timer timer(m_context, std::min<boot_clock::duration>(run_time(), deadline));
        boost::system::error_code ec;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
        --m_running;
        co_return answer_to(call);
    }

    void write_journal(const http_call& call)
    {
        const auto text = [&](std::string_view name)
        { return std::string(find_field(call.fields, name).value_or("")); };
        m_journal.push_back(
            {text("Key"), text("Idempotency-Key"), call.method, text("Fencing-Token")});
    }

    [[nodiscard]] http_reply answer_to(const http_call& call) const
    {
        const auto text = [&](std::string_view name)
        { return std::string(find_field(call.fields, name).value_or("")); };
        http_reply reply{200, {}, m_id + " ran " + call.method + " " + text("Key") + "\n"};
        reply.fields.push_back({"Content-Type", "text/plain"});
        reply.fields.push_back({"Request-Id", m_faults.wrong_answers ? "0" : text("Request-Id")});
        return reply;
    }

    [[nodiscard]] boot_clock::duration run_time() const
    {
        constexpr std::chrono::seconds warm_up{2};
        const auto age = boot_clock::now() - m_started;
        const auto remaining = std::max(boot_clock::duration(0), warm_up - age);
        const auto cold_extra = millis(FLAGS_cold_ms) * remaining.count() /
                                std::chrono::duration_cast<boot_clock::duration>(warm_up).count();
        return millis(FLAGS_run_ms) + millis(m_faults.extra_ms) + cold_extra;
    }

    asio::io_context& m_context;
    std::string m_id;
    instant m_started;
    int m_running{};
    fault_settings m_faults;
    fencing_token m_token;
    instant m_granted_until{};
    std::set<slice_index> m_slices;
    std::vector<run_record> m_journal;
    http_listener m_listener;
};

} // namespace

int main(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    asio::io_context context(1);
    std::vector<std::unique_ptr<worker>> workers;
    for (const auto& item : split_list(FLAGS_workers))
    {
        const auto at = item.find('@');
        workers.push_back(
            std::make_unique<worker>(context, item.substr(0, at), item.substr(at + 1)));
    }
    asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&](const boost::system::error_code&, int) { context.stop(); });
    context.run();
    return 0;
}
