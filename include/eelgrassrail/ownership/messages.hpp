/// Lease messages between entry processes, and the types that the ownership agent exchanges with
/// the process that runs it.
#pragma once

#include <eelgrassrail/core/identity.hpp>

#include <boost/describe/class.hpp>

#include <string>
#include <variant>
#include <vector>

namespace eelgrassrail
{

/// Announces the sender to a few neighbours of its zone.
struct hello
{
    process_id from;
    bool stopping{}; ///< the sender accepts no new roles
};
BOOST_DESCRIBE_STRUCT(hello, (), (from, stopping))

/// Announces to a pool's standbys that the sender holds the pool.
struct heartbeat
{
    process_id from;
    pool_id pool;
    epoch_number epoch{};
};
BOOST_DESCRIBE_STRUCT(heartbeat, (), (from, pool, epoch))

/// Acknowledges a heartbeat.
struct heartbeat_reply
{
    process_id from;
    pool_id pool;
    epoch_number epoch{};
};
BOOST_DESCRIBE_STRUCT(heartbeat_reply, (), (from, pool, epoch))

/// Request of a holder that cannot read the log: the receiver shall relinquish its claim.
struct relinquish_request
{
    process_id from;
    pool_id pool;
    epoch_number epoch{};
    std::uint64_t number{}; ///< grows with each log outage of the holder
};
BOOST_DESCRIBE_STRUCT(relinquish_request, (), (from, pool, epoch, number))

/// Promise of the sender to make no claim by silence in this epoch until it reads a resumption with
/// this number or a higher one.
struct relinquish_reply
{
    process_id from;
    pool_id pool;
    epoch_number epoch{};
    std::uint64_t number{};
};
BOOST_DESCRIBE_STRUCT(relinquish_reply, (), (from, pool, epoch, number))

using lease_message =
    std::variant<hello, heartbeat, heartbeat_reply, relinquish_request, relinquish_reply>;

/// A message with its destination.
struct outgoing_message
{
    std::string address; ///< host:port
    lease_message body;
};

/// A record to append to the platform's log.
struct append_request
{
    std::string id; ///< id of the record inside `text`
    std::string text;
};

/// Order to send a pool's request history and server map to a process that is to become a standby.
struct sync_request
{
    pool_id pool;
    epoch_number epoch{};
    process_id candidate;
};

/// Result of an append, as known to its sender.
enum class append_result : std::uint8_t
{
    acknowledged, ///< acknowledged by the platform
    not_sent,     ///< nothing was written to the platform
    unknown       ///< it may have been appended or may be appended later
};

/// One VM in the platform's list, which may be out of date.
struct listed_vm
{
    std::string vm;
    std::string zone;
    std::string address;
    bool leaving{};
};
BOOST_DESCRIBE_STRUCT(listed_vm, (), (vm, zone, address, leaving))

/// Response to one read of the log.
struct log_page
{
    log_offset start{}; ///< oldest retained offset
    log_offset first{}; ///< offset of records[0]
    log_offset head{};  ///< offset of the next append
    std::vector<std::string> records;
};
BOOST_DESCRIBE_STRUCT(log_page, (), (start, first, head, records))

} // namespace eelgrassrail
