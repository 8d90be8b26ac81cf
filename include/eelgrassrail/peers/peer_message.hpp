/// Messages between entry processes over TCP, and their frames.
#pragma once

#include <eelgrassrail/ownership/messages.hpp>
#include <eelgrassrail/requests/dispatch_commands.hpp>
#include <eelgrassrail/requests/request.hpp>

#include <boost/describe/class.hpp>

#include <optional>
#include <span>
#include <string>
#include <variant>
#include <vector>

namespace eelgrassrail
{

/// Run a request for a key whose pool the receiver holds. Answered by `forward_answer`.
struct forward_call
{
    request value;
};
BOOST_DESCRIBE_STRUCT(forward_call, (), (value))

struct forward_answer
{
    answer value;
};
BOOST_DESCRIBE_STRUCT(forward_answer, (), (value))

/// Read the log for the sender; the receiver's own read must begin after this arrives.
struct log_read_call
{
    log_offset from{};
    std::string zone;         ///< of the sender
    std::uint64_t vms_hash{}; ///< of the VM list that the sender has
};
BOOST_DESCRIBE_STRUCT(log_read_call, (), (from, zone, vms_hash))

struct log_read_answer
{
    bool succeeded{};
    log_page page;
    bool vms_confirmed{};       ///< the platform's list was read lately
    std::vector<listed_vm> vms; ///< the list, if it is not the one that the sender has
};
BOOST_DESCRIBE_STRUCT(log_read_answer, (), (succeeded, page, vms_confirmed, vms))

/// Append a record for the sender.
struct log_append_call
{
    std::string text;
};
BOOST_DESCRIBE_STRUCT(log_append_call, (), (text))

struct log_append_answer
{
    append_result result{};
};
BOOST_DESCRIBE_STRUCT(log_append_answer, (), (result))

/// Send the folded state, as a snapshot.
struct state_call
{
    log_offset newer_than{};
};
BOOST_DESCRIBE_STRUCT(state_call, (), (newer_than))

struct state_answer
{
    log_offset as_of{}; ///< 0: nothing newer
    std::string state;
    std::uint64_t hash{};
};
BOOST_DESCRIBE_STRUCT(state_answer, (), (as_of, state, hash))

/// Changes of a pool's history for a standby. Answered by `delta_answer`.
struct delta_call
{
    pool_delta value;
};
BOOST_DESCRIBE_STRUCT(delta_call, (), (value))

struct delta_answer
{
    bool accepted{}; ///< false: a delta before this one is missing
};
BOOST_DESCRIBE_STRUCT(delta_answer, (), (accepted))

/// A request is refused from now on because it made servers fail.
struct quarantine_notice
{
    std::string service;
    std::uint64_t fingerprint{};
};
BOOST_DESCRIBE_STRUCT(quarantine_notice, (), (service, fingerprint))

/// What is in force at the receiver. Answered by `status_answer`.
struct status_call
{
    bool brief{true};
};
BOOST_DESCRIBE_STRUCT(status_call, (), (brief))

struct status_answer
{
    std::string vm;
    std::string zone;
    ticket_number in_force{};
    log_offset next{};
};
BOOST_DESCRIBE_STRUCT(status_answer, (), (vm, zone, in_force, next))

/// Which server owns a key, asked of the pool's holder. Answered by `owner_answer`.
struct owner_call
{
    std::string service;
    std::string key;
};
BOOST_DESCRIBE_STRUCT(owner_call, (), (service, key))

struct owner_answer
{
    std::string server;              ///< empty: the receiver does not hold the pool
    std::vector<std::string> events; ///< automatic moves of the key's slice
};
BOOST_DESCRIBE_STRUCT(owner_answer, (), (server, events))

using peer_body =
    std::variant<forward_call, forward_answer, log_read_call, log_read_answer, log_append_call,
                 log_append_answer, state_call, state_answer, delta_call, delta_answer,
                 quarantine_notice, status_call, status_answer, owner_call, owner_answer>;

/// One frame. An answer carries the number of its call.
struct peer_frame
{
    std::uint64_t number{};
    bool is_answer{};
    std::string from_zone; ///< zone of the sender
    peer_body body;
};
BOOST_DESCRIBE_STRUCT(peer_frame, (), (number, is_answer, from_zone, body))

/// Longest frame in bytes, without its length prefix.
constexpr std::uint32_t max_frame_bytes = 16U * 1024 * 1024;

/// @brief Writes the frame's payload.
[[nodiscard]] std::string encode(const peer_frame& frame);

/// @brief Reads a payload.
/// @return nothing if it is torn, over-long or followed by other bytes
[[nodiscard]] std::optional<peer_frame> decode_frame(std::span<const char> bytes);

/// @brief Writes a datagram with one lease message.
[[nodiscard]] std::string encode(const lease_message& message, const std::string& zone);

/// A lease message with the zone of its sender.
struct lease_datagram
{
    std::string from_zone;
    lease_message body;
};
BOOST_DESCRIBE_STRUCT(lease_datagram, (), (from_zone, body))

/// @brief Reads a datagram.
/// @return nothing if it is malformed
[[nodiscard]] std::optional<lease_datagram> decode_datagram(std::span<const char> bytes);

} // namespace eelgrassrail
