/// Starts a local deployment, publishes the first ticket with the operator command-line client,
/// sends sample requests and prints answer, outcome and owner of each.
#include "deployment.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/json/serialize.hpp>
#include <gflags/gflags.h>

#include <filesystem>
#include <fstream>
#include <iostream>

DEFINE_string(deployment, "ice", "ice or ride");
DEFINE_bool(once, false, "stop after the sample requests; exit 1 if an answer was wrong");
DEFINE_string(bin, ".", "folder of the programs");
DEFINE_string(folder, "run", "folder for logs and the first ticket");

namespace
{

using namespace eelgrassrail;
using namespace eelgrassrail::harness;

struct sample_request
{
    std::size_t entry;
    std::string method;
    std::string target;
    std::string idempotency_key;
    std::string body;
};

std::vector<sample_request> sample_requests()
{
    if (FLAGS_deployment == "ice")
        return {{0, "GET", "/v1/windows/bar-17/tonight", "", ""},
                {4, "GET", "/v1/windows/bar-17/tonight", "", ""},
                {5, "POST", "/v1/contracts/bar-17", "week-49", "20 bags"},
                {8, "POST", "/v1/rush/bar-17", "rush-1", "cooler failed"},
                {1, "POST", "/v1/rush/bar-17", "rush-1", "cooler failed"}};
    return {{0, "GET", "/v1/certificates/ride-5/latest", "", ""},
            {4, "GET", "/v1/certificates/ride-5/latest", "", ""},
            {5, "POST", "/v1/renewals/ride-5", "renewal-2027", "new expiry"},
            {8, "POST", "/v1/defects/ride-5", "defect-1", "cracked weld"},
            {1, "POST", "/v1/defects/ride-5", "defect-1", "cracked weld"}};
}

bool send(const deployment& local, const sample_request& item)
{
    http_call call{
        item.method, item.target, {{"Tenant", "demo"}, {"Request-Attempt", "1"}}, item.body};
    if (!item.idempotency_key.empty())
        call.fields.push_back({"Idempotency-Key", item.idempotency_key});
    const auto result = local.request(item.entry, call);
    const auto field = [&](std::string_view name)
    { return find_field(result.reply.fields, name).value_or("-"); };
    std::cout << item.method << ' ' << item.target << " through " << local.entries[item.entry].zone
              << "\n  answer  " << result.reply.status << ' ' << result.reply.body << "  outcome "
              << field("Outcome") << "  owner " << field("Owner") << "  replayed "
              << field("Replayed") << '\n';
    return result.result == exchange_result::complete && field("Outcome") == "done";
}

bool publish_first(const deployment& local)
{
    const auto file = FLAGS_folder + "/first-ticket.json";
    std::ofstream(file) << deployment::ticket_file(local.first_ticket());
    child_process client(
        FLAGS_bin + "/eelgrassrail",
        {"--entry=" + local.entries[0].operators, "--base=0", "ticket", "publish", file},
        FLAGS_folder + "/client.log");
    return client.wait_for_exit() == 0;
}

void print_addresses(const deployment& local)
{
    std::cout << "\nTry these:\n";
    for (const auto& item : sample_requests())
        if (item.method == "GET")
            std::cout << "  curl -i -H 'Tenant: demo' http://" << local.entries[item.entry].http
                      << item.target << '\n';
    std::cout << "  eelgrassrail --entry " << local.entries[0].operators << " status\n"
              << "  curl http://" << local.entries[0].operators << "/metrics\n"
              << "Ctrl-C stops everything.\n"
              << std::flush;
}

void wait_for_signal()
{
    boost::asio::io_context context(1);
    boost::asio::signal_set signals(context, SIGINT, SIGTERM);
    signals.async_wait([](const boost::system::error_code&, int) {});
    context.run();
}

int run()
{
    const auto began = boot_clock::now();
    std::filesystem::remove_all(FLAGS_folder);
    deployment local(FLAGS_deployment == "ice" ? ice_plan() : ride_plan(), FLAGS_bin, FLAGS_folder);
    local.start();
    if (!publish_first(local))
    {
        std::cout << "The first ticket was not accepted; see " << FLAGS_folder << "/client.log.\n";
        return 1;
    }
    bool all_right = true;
    bool is_first = true;
    for (const auto& item : sample_requests())
    {
        all_right = send(local, item) && all_right;
        if (std::exchange(is_first, false))
            std::cout << "  (first answer "
                      << std::chrono::duration_cast<millis>(boot_clock::now() - began).count()
                      << " ms after the start)\n";
    }
    std::cout << (all_right ? "All answers were right.\n" : "An answer was wrong.\n");
    if (!FLAGS_once)
    {
        print_addresses(local);
        wait_for_signal();
    }
    return all_right ? 0 : 1;
}

} // namespace

int main(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    if (FLAGS_deployment != "ice" && FLAGS_deployment != "ride")
    {
        std::cerr << "--deployment='" << FLAGS_deployment << "' is not allowed; use ice or ride\n";
        return 2;
    }
    try
    {
        return run();
    }
    catch (const std::exception& e)
    {
        std::cerr << "run_local: " << e.what() << '\n';
        return 1;
    }
}
