/// Command-line client for operators: publishes tickets and reads the state of the entry VMs.
#include <eelgrassrail/core/exception.hpp>
#include <eelgrassrail/http/ask.hpp>
#include <eelgrassrail/settings/flags.hpp>
#include <eelgrassrail/tickets/log_record.hpp>

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <gflags/gflags.h>

#include <fstream>
#include <iostream>
#include <sstream>

DEFINE_string(entry, "127.0.0.1:7002",
              "operator addresses of entry VMs, tried in order: IP:PORT,...");
DEFINE_int64(base, -1, "ticket publish: the ticket in force that the new one is based on");
DEFINE_string(service, "", "owner and trace: the service of the key");
DEFINE_string(id, "", "ticket publish: id of the ticket, to publish the same one again");
DEFINE_bool(json, false, "print the answer as JSON");

namespace
{

using namespace eelgrassrail;

/// Exit codes for scripts.
enum exit_code : int
{
    exit_ok = 0,
    exit_rejected = 1, ///< the ticket is invalid, or another one was published on the same base
    exit_usage = 2,
    exit_unreachable = 3, ///< no entry VM answered, or the result of a ticket is unknown
    exit_not_found = 4
};

constexpr const char* usage = R"(operator client of eelgrassrail

  eelgrassrail ticket publish FILE --base N   publish a ticket based on ticket N
  eelgrassrail ticket status NUMBER|ID        result of a ticket
  eelgrassrail ticket show [NUMBER]           the ticket in force, or one ticket's result
  eelgrassrail in-force                       the ticket in force at every entry VM
  eelgrassrail status                         pools and their lease holders
  eelgrassrail owner KEY --service S          owner of a key, and the decision that assigned it
  eelgrassrail audit                          automatic decisions of the entry VM that answers

exit codes: 0 done, 1 the ticket was rejected, 2 usage error, 3 no answer, 4 not found)";

/// Thrown to exit with a code and a message on standard error.
struct command_error
{
    exit_code code;
    std::string text;
};

/// Sends the call to the entry VMs in turn until one answers.
http_reply exchange_with_any(const http_call& call)
{
    constexpr millis exchange_timeout{12'000};
    for (const auto& address : split_list(FLAGS_entry))
    {
        check_address("entry", address);
        auto result = ask(address, call, exchange_timeout);
        if (result.result == exchange_result::complete)
            return std::move(result.reply);
    }
    throw command_error{exit_unreachable, "no entry VM answered at " + FLAGS_entry +
                                              "; give other operator addresses with --entry"};
}

std::string read_file(const std::string& name)
{
    std::ifstream in(name, std::ios::binary);
    if (!in)
        throw command_error{exit_usage, "can not read file " + name};
    std::ostringstream text;
    text << in.rdbuf();
    return std::move(text).str();
}

/// Prints a JSON value as lines `name: value`; nested members get dotted names.
void print_plain(const boost::json::value& value, const std::string& name)
{
    if (const auto* object = value.if_object())
        for (const auto& field : *object)
            print_plain(field.value(), name.empty() ? std::string(field.key())
                                                    : name + "." + std::string(field.key()));
    else if (const auto* list = value.if_array())
        for (std::size_t n = 0; n < list->size(); ++n)
            print_plain((*list)[n], name + "[" + std::to_string(n) + "]");
    else if (const auto* text = value.if_string())
        std::cout << name << ": " << text->c_str() << '\n';
    else
        std::cout << name << ": " << boost::json::serialize(value) << '\n';
}

/// Prints the reply.
/// @return the exit code for its status
int print_reply(const http_reply& reply)
{
    constexpr unsigned ok = 200;
    constexpr unsigned not_found = 404;
    constexpr unsigned unavailable = 503;
    if (FLAGS_json)
        std::cout << reply.body;
    else
        print_plain(boost::json::parse(reply.body), "");
    if (reply.status == ok)
        return exit_ok;
    if (reply.status == unavailable)
        return exit_unreachable;
    return reply.status == not_found ? exit_not_found : exit_rejected;
}

int publish(const std::string& file)
{
    if (FLAGS_base < 0)
        throw command_error{exit_usage, "ticket publish needs --base N; `ticket show` prints the "
                                        "number in force"};
    const auto text = read_file(file);
    try
    {
        static_cast<void>(decode_ticket_file(text));
    }
    catch (const ticket_error& e)
    {
        throw command_error{exit_rejected, file + " was not published: " + e.what()};
    }
    auto target = "/admin/tickets?base=" + std::to_string(FLAGS_base);
    if (!FLAGS_id.empty())
        target += "&id=" + percent_encode(FLAGS_id);
    return print_reply(
        exchange_with_any({"POST", target, {{"Content-Type", "application/json"}}, text}));
}

int get(const std::string& target)
{
    return print_reply(exchange_with_any({"GET", target, {}, {}}));
}

int owner(const std::string& key)
{
    if (FLAGS_service.empty())
        throw command_error{exit_usage, "owner needs --service NAME"};
    return get("/admin/owner?service=" + percent_encode(FLAGS_service) +
               "&key=" + percent_encode(key));
}

int run(const std::vector<std::string>& arguments)
{
    const auto matches =
        [&](std::size_t count, std::string_view first, std::string_view second = {})
    {
        return arguments.size() == count && arguments[0] == first &&
               (second.empty() || arguments[1] == second);
    };
    if (matches(3, "ticket", "publish"))
        return publish(arguments[2]);
    if (matches(3, "ticket", "status") || matches(3, "ticket", "show"))
        return get("/admin/tickets/" + percent_encode(arguments[2]));
    if (matches(2, "ticket", "show"))
        return get("/admin/tickets");
    if (matches(1, "in-force"))
        return get("/admin/in-force");
    if (matches(1, "status"))
        return get("/admin/status");
    if (matches(2, "owner"))
        return owner(arguments[1]);
    if (matches(1, "audit"))
        return get("/admin/audit");
    throw command_error{exit_usage, usage};
}

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage(usage);
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    try
    {
        read_environment();
        return run({argv + 1, argv + argc});
    }
    catch (const command_error& e)
    {
        std::cerr << e.text << '\n';
        return e.code;
    }
    catch (const std::exception& e)
    {
        std::cerr << e.what() << '\n';
        return exit_usage;
    }
}
