/// Error table: HTTP status, outcome, retry advice and message of each error kind.
#include <eelgrassrail/core/error_kind.hpp>

#include <boost/describe/enumerators.hpp>
#include <boost/mp11/algorithm.hpp>

#include <array>

namespace eelgrassrail
{
namespace
{

using enum error_kind;
using enum outcome;

constexpr std::array table{
    error_row{none, 200, done, false, "the answer of the backend server"},
    error_row{malformed_request, 400, not_run, false,
              "the request is not valid HTTP/1.1 or a field is malformed"},
    error_row{header_too_large, 431, not_run, false, "the header fields are too large"},
    error_row{body_too_large, 413, not_run, false, "the body is too large"},
    error_row{unknown_service, 404, not_run, false, "no service of this name is in force"},
    error_row{unknown_class, 400, not_run, false, "the service has no such request class"},
    error_row{unsupported_method, 405, not_run, false, "use GET, HEAD, PUT, POST or DELETE"},
    error_row{missing_key, 400, not_run, false, "the path names no key: /v1/SERVICE/KEY"},
    error_row{key_too_long, 400, not_run, false, "the key is longer than 256 bytes"},
    error_row{invalid_encoding, 400, not_run, false, "a field is not valid UTF-8"},
    error_row{missing_tenant, 400, not_run, false, "the Tenant header is missing or too long"},
    error_row{invalid_deadline, 400, not_run, false, "Deadline-Ms must be 1 to 60000"},
    error_row{missing_idempotency_key, 400, not_run, false,
              "this class is not idempotent: send an Idempotency-Key"},
    error_row{idempotency_key_reused, 422, not_run, false,
              "the Idempotency-Key belongs to a different request"},
    error_row{tenant_limit, 429, not_run, true, "the tenant has too many requests in flight"},
    error_row{overloaded, 503, not_run, true, "the queue is longer than the class allows"},
    error_row{deadline_passed, 504, not_run, true, "the deadline passed before the request ran"},
    error_row{no_owner, 503, not_run, true, "the key has no owner that can be reached now"},
    error_row{not_holder, 503, not_run, true, "the lease on the key is held elsewhere"},
    error_row{server_refused, 503, not_run, true, "the backend server refused before it ran"},
    error_row{no_server, 503, not_run, true, "no backend server of the pool takes work now"},
    error_row{quarantined, 422, not_run, false, "this request made backend servers fail"},
    error_row{stopping, 503, not_run, true, "this process is shutting down"},
    error_row{peer_unreachable, 503, not_run, true, "the lease holder can not be reached"},
    error_row{answer_lost, 502, unknown, true, "the answer was lost between entry VMs"},
    error_row{server_lost, 502, unknown, true, "the backend server was lost during the run"},
    error_row{deadline_while_running, 504, unknown, true, "the deadline passed during the run"},
    error_row{invalid_server_answer, 502, unknown, true, "the backend server's answer is invalid"},
    error_row{earlier_outcome_unknown, 409, unknown, false,
              "an earlier attempt with this Idempotency-Key may have run"},
    error_row{history_incomplete, 503, unknown, true,
              "the lease moved without its history; an earlier attempt may have run"},
    error_row{unknown_route, 404, not_run, false, "no route of the host matches the path"},
    error_row{no_routes, 503, not_run, true, "this process does not know the routes yet"},
    error_row{withheld, 503, not_run, false, "the request was running when servers were lost"},
};

constexpr std::size_t max_name_length = 32;

/// Enumerator names with dashes instead of underscores; built once, at the first use.
struct dashed_names
{
    std::array<std::array<char, max_name_length>, table.size()> text{};
    std::array<std::size_t, table.size()> length{};

    dashed_names()
    {
        boost::mp11::mp_for_each<boost::describe::describe_enumerators<error_kind>>(
            [this](auto entry)
            {
                const std::string_view name = entry.name;
                const auto row = static_cast<std::size_t>(entry.value);
                length[row] = name.size();
                for (std::size_t n = 0; n < name.size(); ++n)
                    text[row][n] = name[n] == '_' ? '-' : name[n];
            });
    }
};

} // namespace

std::span<const error_row> error_table() noexcept
{
    return table;
}

const error_row& describe(error_kind kind) noexcept
{
    return table[static_cast<std::size_t>(kind)];
}

std::string_view name_of(error_kind kind) noexcept
{
    static const dashed_names names;
    const auto row = static_cast<std::size_t>(kind);
    return {names.text[row].data(), names.length[row]};
}

std::string_view name_of(outcome result) noexcept
{
    switch (result)
    {
    case done:
        return "done";
    case not_run:
        return "not-run";
    case unknown:
        break;
    }
    return "unknown";
}

} // namespace eelgrassrail
