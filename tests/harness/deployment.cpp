/// Starts the processes of a local deployment and calls their HTTP APIs.
#include "deployment.hpp"

#include <eelgrassrail/ownership/messages.hpp>
#include <eelgrassrail/settings/net_address.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value_from.hpp>

#include <algorithm>
#include <filesystem>
#include <random>
#include <stdexcept>
#include <unistd.h>

namespace eelgrassrail::harness
{
namespace
{

constexpr millis call_timeout{3000};

std::string join(const std::vector<std::string>& items)
{
    std::string result;
    for (const auto& item : items)
        result += (result.empty() ? "" : ",") + item;
    return result;
}

boost::json::value json_body(const http_exchange& exchange)
{
    if (exchange.result != exchange_result::complete)
        return {};
    boost::json::error_code ec;
    return boost::json::parse(exchange.reply.body, ec);
}

std::string string_field(const boost::json::value& value, std::string_view name)
{
    const auto* object = value.if_object();
    const auto* field =
        object == nullptr ? nullptr : object->if_contains({name.data(), name.size()});
    return field != nullptr && field->is_string() ? std::string(field->get_string()) : "";
}

} // namespace

std::vector<std::string> free_addresses(std::size_t count)
{
    constexpr unsigned first_port = 15'000;
    constexpr unsigned last_port = 31'000;
    static std::mt19937 random{static_cast<unsigned>(::getpid())};
    boost::asio::io_context context;
    std::vector<std::string> result;
    std::vector<boost::asio::ip::tcp::acceptor> held;
    std::vector<boost::asio::ip::udp::socket> held_udp;
    std::uniform_int_distribution<unsigned> ports(first_port, last_port);
    while (result.size() < count)
    {
        const auto address = "127.0.0.1:" + std::to_string(ports(random));
        try
        {
            boost::asio::ip::tcp::acceptor tcp(context, parse_tcp_address(address), false);
            boost::asio::ip::udp::socket udp(context, parse_udp_address(address));
            held.push_back(std::move(tcp));
            held_udp.push_back(std::move(udp));
            result.push_back(address);
        }
        catch (const boost::system::system_error&)
        {
            continue; // the port is in use
        }
    }
    return result;
}

deployment::deployment(deployment_plan plan, std::string bin, std::string folder)
    : m_plan(std::move(plan))
    , m_bin(std::move(bin))
    , m_folder(std::move(folder))
{
    std::filesystem::create_directories(m_folder);
    std::size_t wanted = 1 + 3 * m_plan.zones.size() * m_plan.entries_per_zone;
    for (const auto& service : m_plan.services)
        wanted += service.workers;
    auto addresses = free_addresses(wanted);
    const auto next_address = [&]
    {
        auto result = std::move(addresses.back());
        addresses.pop_back();
        return result;
    };
    platform_address = next_address();
    for (const auto& zone : m_plan.zones)
        for (std::size_t n = 0; n < m_plan.entries_per_zone; ++n)
        {
            const auto vm = "vm-" + zone + "-" + std::to_string(n);
            entries.push_back(
                {vm, zone, next_address(), next_address(), next_address(), std::nullopt});
        }
    for (const auto& service : m_plan.services)
        for (std::size_t n = 0; n < service.workers; ++n)
        {
            const auto id = service.spec.name + "-" + std::to_string(n);
            const auto& zone = m_plan.zones[n % m_plan.zones.size()];
            worker_addresses[id] = next_address();
            const auto host =
                std::ranges::find_if(hosts,
                                     [&](const worker_host& h)
                                     {
                                         return h.service == service.spec.name && h.zone == zone &&
                                                h.workers.size() < m_plan.workers_per_process;
                                     });
            if (host != hosts.end())
                host->workers.push_back(id);
            else
                hosts.push_back({service.spec.name, zone, {id}, {}, std::nullopt});
        }
    for (auto& host : hosts)
    {
        const auto& service = *std::ranges::find(m_plan.services, host.service,
                                                 [](const service_plan& s) { return s.spec.name; });
        host.flags = {"--run_ms=" + std::to_string(service.run_ms),
                      "--cold_ms=" + std::to_string(service.cold_ms),
                      "--slots=" + std::to_string(service.spec.slots),
                      std::string("--checks_tokens=") +
                          (service.spec.checks_tokens ? "true" : "false")};
    }
}

std::string deployment::vm_list() const
{
    std::vector<listed_vm> vms;
    for (const auto& entry : entries)
        if (!entry.vm.empty())
            vms.push_back({entry.vm, entry.zone, entry.peer, false});
    return boost::json::serialize(boost::json::value_from(vms));
}

void deployment::update_vm_list() const
{
    static_cast<void>(ask(platform_address, {"PUT", "/vms", {}, vm_list()}, call_timeout));
}

void deployment::start_platform()
{
    platform.emplace(
        m_bin + "/standin_platform",
        std::vector<std::string>{"--address=" + platform_address, "--vms=" + vm_list()},
        m_folder + "/platform.log");
    if (!wait_until(
            [this]
            {
                return ask(platform_address, {"GET", "/counts", {}, {}}, call_timeout).result ==
                       exchange_result::complete;
            }))
        throw std::runtime_error("the stand-in platform does not answer GET /counts");
}

void deployment::start_entry(std::size_t n)
{
    auto& entry = entries.at(n);
    std::vector<std::string> peers;
    for (const auto& other : entries)
        if (other.peer != entry.peer)
            peers.push_back(other.zone + "@" + other.peer);
    std::vector<std::string> flags{"--vm=" + entry.vm,
                                   "--zone=" + entry.zone,
                                   "--http_address=" + entry.http,
                                   "--operator_address=" + entry.operators,
                                   "--peer_address=" + entry.peer,
                                   "--platform_address=" + platform_address,
                                   "--peers=" + join(peers),
                                   "--fault_switches"};
    flags.insert(flags.end(), m_plan.entry_flags.begin(), m_plan.entry_flags.end());
    entry.process.emplace(m_bin + "/eelgrassraild", flags, m_folder + "/" + entry.vm + ".log");
}

void deployment::start_host(std::size_t n)
{
    auto& host = hosts.at(n);
    std::vector<std::string> workers;
    for (const auto& id : host.workers)
        workers.push_back(id + "@" + worker_addresses.at(id));
    auto flags = host.flags;
    flags.push_back("--workers=" + join(workers));
    host.process.emplace(m_bin + "/standin_backend", flags,
                         m_folder + "/" + host.workers.front() + ".log");
}

void deployment::start()
{
    start_platform();
    for (std::size_t n = 0; n < hosts.size(); ++n)
        start_host(n);
    for (std::size_t n = 0; n < entries.size(); ++n)
        start_entry(n);
    for (std::size_t n = 0; n < entries.size(); ++n)
        if (!wait_until(
                [&]
                {
                    return ask(entries[n].http, {"GET", "/healthz", {}, {}}, call_timeout).result ==
                           exchange_result::complete;
                }))
            throw std::runtime_error("the entry daemon " + entries[n].vm +
                                     " does not answer GET /healthz");
}

ticket deployment::first_ticket() const
{
    ticket value{0, "operator", "first services", {}, {}};
    for (const auto& service : m_plan.services)
    {
        auto spec = service.spec;
        for (std::size_t n = 0; n < service.workers; ++n)
        {
            const auto id = spec.name + "-" + std::to_string(n);
            spec.workers.push_back(
                {id, m_plan.zones[n % m_plan.zones.size()], worker_addresses.at(id), 1});
        }
        value.services.push_back(std::move(spec));
    }
    return value;
}

std::string deployment::ticket_file(const ticket& value)
{
    auto body = boost::json::value_from(value);
    body.as_object().erase("base");
    return boost::json::serialize(body);
}

http_reply deployment::publish(std::size_t entry, const ticket& value, ticket_number base)
{
    constexpr millis timeout{12'000};
    return ask(entries.at(entry).operators,
               {"POST", "/admin/tickets?base=" + std::to_string(base), {}, ticket_file(value)},
               timeout)
        .reply;
}

http_exchange deployment::request(std::size_t entry, const http_call& call, millis timeout) const
{
    return ask(entries.at(entry).http, call, timeout);
}

http_exchange deployment::call_operator_api(std::size_t entry, const http_call& call) const
{
    return ask(entries.at(entry).operators, call, call_timeout);
}

void deployment::set_platform_faults(const std::string& faults) const
{
    const auto done = ask(platform_address, {"POST", "/switch", {}, faults}, call_timeout);
    if (done.result != exchange_result::complete)
        throw std::runtime_error("the stand-in platform does not answer POST /switch");
}

void deployment::set_worker_faults(const std::string& id, const std::string& faults) const
{
    const auto done = ask(worker_addresses.at(id), {"POST", "/switch", {}, faults}, call_timeout);
    if (done.result != exchange_result::complete)
        throw std::runtime_error("the worker " + id + " does not answer POST /switch");
}

std::vector<std::string> deployment::journal(const std::string& worker) const
{
    std::vector<std::string> result;
    const auto value =
        json_body(ask(worker_addresses.at(worker), {"GET", "/journal", {}, {}}, call_timeout));
    if (const auto* lines = value.if_array())
        for (const auto& line : *lines)
            result.push_back(string_field(line, "key") + " " +
                             string_field(line, "idempotency_key"));
    return result;
}

std::vector<std::string> deployment::all_journals() const
{
    std::vector<std::string> result;
    for (const auto& [id, address] : worker_addresses)
        std::ranges::copy(journal(id), std::back_inserter(result));
    return result;
}

std::string deployment::owner(std::size_t entry, const std::string& service,
                              const std::string& key) const
{
    return string_field(
        json_body(call_operator_api(
            entry,
            {"GET", "/admin/owner?service=" + service + "&key=" + percent_encode(key), {}, {}})),
        "server");
}

std::string deployment::holder(std::size_t entry, const std::string& service,
                               const std::string& key) const
{
    return string_field(
        json_body(call_operator_api(
            entry,
            {"GET", "/admin/owner?service=" + service + "&key=" + percent_encode(key), {}, {}})),
        "holder");
}

bool deployment::is_settled(std::size_t entry) const
{
    const auto value = json_body(call_operator_api(entry, {"GET", "/admin/status", {}, {}}));
    const auto* object = value.if_object();
    if (object == nullptr || object->at("pools").as_array().empty())
        return false;
    const auto wanted = std::min<std::size_t>(2, m_plan.entries_per_zone - 1);
    return std::ranges::all_of(object->at("pools").as_array(),
                               [&](const boost::json::value& pool) {
                                   return pool.at("active").as_bool() &&
                                          pool.at("standbys").to_number<std::size_t>() >= wanted;
                               });
}

bool deployment::wait_until(const std::function<bool()>& predicate, millis timeout)
{
    constexpr millis interval{20};
    const auto deadline = boot_clock::now() + timeout;
    boost::asio::io_context context;
    while (!predicate())
    {
        if (boot_clock::now() >= deadline)
            return false;
        boost::asio::steady_timer(context, interval).wait();
    }
    return true;
}

std::size_t deployment::entry_index(const std::string& vm) const
{
    const auto it = std::ranges::find(entries, vm, &entry_node::vm);
    if (it == entries.end())
        throw std::runtime_error("no entry VM is named '" + vm + "'");
    return static_cast<std::size_t>(it - entries.begin());
}

worker_host& deployment::host_of(const std::string& worker)
{
    const auto it = std::ranges::find_if(
        hosts, [&](const worker_host& host)
        { return std::ranges::find(host.workers, worker) != host.workers.end(); });
    if (it == hosts.end())
        throw std::runtime_error("no process hosts the worker '" + worker + "'");
    return *it;
}

} // namespace eelgrassrail::harness
