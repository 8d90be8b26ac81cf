/// Messages between entry processes: frames over TCP and lease datagrams over UDP.
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

/// Forwards a request to the holder of the key's pool. Answered by `forward_answer`.
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

/// Reads the log through the receiver, whose own read must begin after this call has arrived.
/// Answered by `log_read_answer`.
struct log_read_call
{
    log_offset from{};
    std::string zone;         ///< of the sender
    std::uint64_t vms_hash{}; ///< of the sender's VM list
};
BOOST_DESCRIBE_STRUCT(log_read_call, (), (from, zone, vms_hash))

struct log_read_answer
{
    bool succeeded{};
    log_page page;
    bool vms_confirmed{};       ///< the VM list was recently read from the platform
    std::vector<listed_vm> vms; ///< the VM list, if its hash differs from `vms_hash` of the call
};
BOOST_DESCRIBE_STRUCT(log_read_answer, (), (succeeded, page, vms_confirmed, vms))

/// Appends a record to the log through the receiver. Answered by `log_append_answer`.
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

/// Fetches a snapshot of the state folded from the log. Answered by `state_answer`.
struct state_call
{
    log_offset newer_than{}; ///< log offset of the sender's own state
};
BOOST_DESCRIBE_STRUCT(state_call, (), (newer_than))

struct state_answer
{
    log_offset as_of{}; ///< log offset of the snapshot; 0: no newer one
    std::string state;
    std::uint64_t hash{};
};
BOOST_DESCRIBE_STRUCT(state_answer, (), (as_of, state, hash))

/// Replicates changes of a pool's history to a standby. Answered by `delta_answer`.
struct delta_call
{
    pool_delta value;
};
BOOST_DESCRIBE_STRUCT(delta_call, (), (value))

struct delta_answer
{
    bool accepted{}; ///< false: an earlier delta is missing
};
BOOST_DESCRIBE_STRUCT(delta_answer, (), (accepted))

/// Quarantines a request that made servers fail: it is refused from now on. Not answered.
struct quarantine_notice
{
    std::string service;
    std::uint64_t fingerprint{};
};
BOOST_DESCRIBE_STRUCT(quarantine_notice, (), (service, fingerprint))

/// Reads the receiver's status: its ticket in force and log position. Answered by `status_answer`.
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

/// Looks up the owner of a key at the holder of its pool. Answered by `owner_answer`.
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

/// One frame on a TCP connection. An answer carries the number of its call.
struct peer_frame
{
    std::uint64_t number{};
    bool is_answer{};
    std::string from_zone; ///< availability zone of the sender
    peer_body body;
};
BOOST_DESCRIBE_STRUCT(peer_frame, (), (number, is_answer, from_zone, body))

/// Maximum size of a frame's payload, without the length prefix.
constexpr std::uint32_t max_frame_bytes = 16U * 1024 * 1024;

/// @brief Encodes the payload of a frame.
[[nodiscard]] std::string encode(const peer_frame& frame);

/// @brief Decodes the payload of a frame.
/// @return std::nullopt if it is truncated, too long, malformed or followed by other bytes
[[nodiscard]] std::optional<peer_frame> decode_frame(std::span<const char> bytes);

/// @brief Encodes a datagram with one lease message.
/// @param zone of the sender
[[nodiscard]] std::string encode(const lease_message& message, const std::string& zone);

/// A lease message and the availability zone of its sender.
struct lease_datagram
{
    std::string from_zone;
    lease_message body;
};
BOOST_DESCRIBE_STRUCT(lease_datagram, (), (from_zone, body))

/// @brief Decodes a datagram.
/// @return std::nullopt if it is malformed
[[nodiscard]] std::optional<lease_datagram> decode_datagram(std::span<const char> bytes);

} // namespace eelgrassrail
