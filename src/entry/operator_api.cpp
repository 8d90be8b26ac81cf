/// Handlers of the HTTP interface for operators.
#include <eelgrassrail/core/exception.hpp>
#include <eelgrassrail/core/json_reader.hpp>
#include <eelgrassrail/entry/entry_process.hpp>
#include <eelgrassrail/entry/operator_api.hpp>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/uuid/random_generator.hpp>
#include <boost/uuid/uuid_io.hpp>

#include <algorithm>
#include <charconv>

namespace eelgrassrail
{

namespace asio = boost::asio;

namespace
{

constexpr unsigned bad_request = 400;
constexpr unsigned not_found = 404;
constexpr unsigned conflict = 409;
constexpr unsigned unavailable = 503;
constexpr millis publish_timeout{8000};
constexpr millis publish_retry_interval{1000};
constexpr millis publish_check_interval{20};
constexpr millis status_timeout{500};
constexpr std::string_view ticket_prefix = "/admin/tickets/";

http_reply json_reply(const boost::json::value& body, unsigned status = 200)
{
    return {status, {{"Content-Type", "application/json"}}, boost::json::serialize(body) + "\n"};
}

http_reply error_reply(unsigned status, const std::string& text)
{
    return json_reply(boost::json::object{{"error", text}}, status);
}

http_reply metrics_reply(std::string text)
{
    return {200, {{"Content-Type", "text/plain; version=0.0.4"}}, std::move(text)};
}

std::optional<std::uint64_t> to_number(std::string_view text)
{
    std::uint64_t number = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), number);
    if (text.empty() || parsed.ec != std::errc() || parsed.ptr != text.data() + text.size())
        return std::nullopt;
    return number;
}

/// Body of POST /admin/faults.
struct fault_request
{
    std::vector<std::string> cut_zones;
    bool cut_platform{};
};
BOOST_DESCRIBE_STRUCT(fault_request, (), (cut_zones, cut_platform))

/// Handlers of one call; must outlive the coroutine of `serve`.
class operator_session
{
  public:
    operator_session(entry_process& process, http_call call)
        : m_process(process)
        , m_call(std::move(call))
    {
    }

    asio::awaitable<http_reply> serve()
    {
        const auto path = path_of(m_call.target);
        if (m_call.method == "POST" && path == "/admin/tickets")
            co_return co_await publish();
        if (m_call.method == "POST" && path == "/admin/faults")
            co_return set_faults();
        if (m_call.method != "GET")
            co_return error_reply(not_found, "unknown method or path");
        if (path == "/admin/tickets")
            co_return in_force();
        if (path.starts_with(ticket_prefix))
            co_return ticket_status(path.substr(ticket_prefix.size()));
        if (path == "/admin/status")
            co_return status();
        if (path == "/admin/in-force")
            co_return co_await in_force_everywhere();
        if (path == "/admin/owner")
            co_return co_await owner();
        if (path == "/admin/audit")
            co_return json_reply(boost::json::value_from(m_process.audit_trail()));
        if (path == "/metrics")
            co_return metrics_reply(m_process.metrics_text());
        if (path == "/healthz")
            co_return health_reply(m_process.is_healthy());
        if (path == "/readyz")
            co_return health_reply(m_process.is_ready());
        co_return error_reply(not_found, "unknown method or path");
    }

  private:
    [[nodiscard]] const deployment_state& state() const { return m_process.agent().state(); }

    [[nodiscard]] const ticket_result* find_result(std::string_view id) const
    {
        const auto& results = state().results;
        const auto number = to_number(id);
        const auto it = std::ranges::find_if(
            results, [&](const ticket_result& result)
            { return result.id == id || (number && result.accepted && result.number == *number); });
        return it == results.end() ? nullptr : &*it;
    }

    asio::awaitable<http_reply> publish()
    {
        auto prepared = prepare_ticket();
        if (auto* refused = std::get_if<http_reply>(&prepared))
            co_return std::move(*refused);
        auto request = std::get<append_request>(std::move(prepared));
        co_return co_await publish_record(std::move(request.id), std::move(request.text));
    }

    /// Decodes the ticket file in the body and encodes its log record; an error reply if invalid.
    std::variant<append_request, http_reply> prepare_ticket() const
    {
        const auto base = to_number(query_value(m_call.target, "base").value_or(""));
        if (!base)
            return error_reply(bad_request, "base: must be the number of the ticket in force that "
                                            "this ticket is based on");
        if (*base > state().in_force)
            return error_reply(conflict, "base: " + std::to_string(*base) +
                                             " is not in force yet; the ticket in force is " +
                                             std::to_string(state().in_force));
        try
        {
            log_record record;
            auto body = decode_ticket_file(m_call.body);
            body.base = *base;
            record.body = std::move(body);
            record.id = query_value(m_call.target, "id").value_or("");
            if (record.id.empty())
                record.id = "ticket-" + boost::uuids::to_string(boost::uuids::random_generator()());
            return append_request{record.id, encode(record)};
        }
        catch (const ticket_error& e)
        {
            return error_reply(bad_request, e.what());
        }
    }

    /// Appends the record, repeatedly if needed, until it is read back from the log: only then
    /// is the result known.
    asio::awaitable<http_reply> publish_record(std::string id, std::string text)
    {
        const auto deadline = boot_clock::now() + publish_timeout;
        instant next_append{};
        bool may_be_appended = false;
        asio::steady_timer timer(m_process.context());
        while (boot_clock::now() < deadline)
        {
            if (const auto* result = find_result(id))
                co_return json_reply(boost::json::value_from(*result),
                                     result->accepted ? 200 : conflict);
            if (boot_clock::now() >= next_append)
            {
                next_append = boot_clock::now() + publish_retry_interval;
                const auto result = co_await m_process.append(text);
                may_be_appended = may_be_appended || result != append_result::not_sent;
            }
            timer.expires_after(publish_check_interval);
            boost::system::error_code ec;
            co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
        }
        co_return error_reply(unavailable,
                              may_be_appended
                                  ? "the result of " + id + " is not known yet; query its status"
                                  : "the log cannot be reached; " + id + " was not published");
    }

    http_reply in_force() const
    {
        boost::json::array services;
        for (const auto& service : state().services)
            services.push_back({{"service", service.spec.name},
                                {"ticket", service.number},
                                {"author", service.author},
                                {"reason", service.reason},
                                {"offset", service.offset},
                                {"state", boost::json::value_from(service.spec)}});
        return json_reply({{"in_force", state().in_force}, {"services", services}});
    }

    http_reply ticket_status(std::string_view id) const
    {
        const auto* result = find_result(percent_decode(id).value_or(""));
        return result == nullptr
                   ? error_reply(not_found, "no ticket with this number or id is known here")
                   : json_reply(boost::json::value_from(*result));
    }

    http_reply status() const
    {
        boost::json::array pools;
        for (const auto& pool : state().pools)
            pools.push_back({{"pool", to_text(pool.id)},
                             {"epoch", pool.epoch},
                             {"holder", pool.holder ? pool.holder->vm : ""},
                             {"active", pool.active},
                             {"evidence", boost::describe::enum_to_string(pool.evidence, "")},
                             {"standbys", pool.standbys.size()},
                             {"serves_here", m_process.runners().contains(pool.id)}});
        const auto& settings = m_process.settings();
        return json_reply({{"vm", settings.vm},
                           {"zone", settings.zone},
                           {"in_force", state().in_force},
                           {"next_offset", state().next},
                           {"ready", m_process.is_ready()},
                           {"pools", pools}});
    }

    asio::awaitable<http_reply> in_force_everywhere()
    {
        boost::json::array rows;
        rows.push_back(boost::json::value_from(m_process.local_status()));
        const status_call message;
        const auto endpoints = m_process.gateway().endpoints();
        for (const auto& endpoint : endpoints)
        {
            auto outcome =
                co_await m_process.peers().call(endpoint.address, message, status_timeout);
            rows.push_back(status_row(endpoint, outcome));
        }
        co_return json_reply(rows);
    }

    static boost::json::value status_row(const peer_endpoint& endpoint, const call_outcome& outcome)
    {
        if (const auto* found = outcome.body ? std::get_if<status_answer>(&*outcome.body) : nullptr)
            return boost::json::value_from(*found);
        return {{"vm", endpoint.address}, {"zone", endpoint.zone}, {"in_force", nullptr}};
    }

    asio::awaitable<http_reply> owner()
    {
        const auto name = query_value(m_call.target, "service").value_or("");
        const auto key = query_value(m_call.target, "key").value_or("");
        const auto* service = find_service(state(), name);
        if (service == nullptr || key.empty())
            co_return error_reply(not_found, "the service is not in force or the key is missing");
        const auto* pool = find_owning_pool(state(), *service, slice_of(key, service->spec.slices));
        auto body = describe_owner(*service, pool, key);
        owner_answer found;
        if (pool != nullptr && pool->holder == m_process.agent().self())
            found = m_process.local_owner(name, key);
        else if (pool != nullptr && pool->holder)
        {
            const owner_call message{name, key};
            auto outcome =
                co_await m_process.peers().call(pool->holder->address, message, status_timeout);
            if (const auto* reply =
                    outcome.body ? std::get_if<owner_answer>(&*outcome.body) : nullptr)
                found = *reply;
        }
        body["server"] = found.server;
        body["moves"] = boost::json::value_from(found.events);
        co_return json_reply(body);
    }

    /// State of a key's owner in the log, with the ticket and the epoch that determine it.
    static boost::json::object describe_owner(const service_state& service, const pool_state* pool,
                                              const std::string& key)
    {
        const auto slice = slice_of(key, service.spec.slices);
        boost::json::object body{{"service", service.spec.name},
                                 {"key", key},
                                 {"slice", slice},
                                 {"ticket", service.number},
                                 {"author", service.author},
                                 {"reason", service.reason},
                                 {"ticket_offset", service.offset}};
        if (pool == nullptr)
            return body;
        body["pool"] = to_text(pool->id);
        body["epoch"] = pool->epoch;
        body["epoch_offset"] = pool->since;
        body["epoch_evidence"] = boost::describe::enum_to_string(pool->evidence, "");
        body["waits_for_release"] = find_pending_slice(service, slice) != nullptr;
        body["holder"] = pool->holder ? pool->holder->vm : "";
        return body;
    }

    http_reply set_faults()
    {
        if (!m_process.settings().fault_switches)
            return error_reply(not_found,
                               "fault switches are disabled; start with --fault_switches");
        try
        {
            const auto faults = json_reader().read<fault_request>(boost::json::parse(m_call.body));
            m_process.simulate_partition({faults.cut_zones.begin(), faults.cut_zones.end()},
                                         faults.cut_platform);
            return json_reply(boost::json::value_from(faults));
        }
        catch (const std::exception& e)
        {
            return error_reply(bad_request, e.what());
        }
    }

    entry_process& m_process;
    http_call m_call;
};

} // namespace

asio::awaitable<http_reply> serve_operator(entry_process& process, http_call call)
{
    operator_session session(process, std::move(call));
    co_return co_await session.serve();
}

} // namespace eelgrassrail
