/// Messages about leases that entry processes send each other, and orders that the ownership agent
/// gives to the process around it.
#pragma once

#include <eelgrassrail/core/identity.hpp>

#include <boost/describe/class.hpp>

#include <string>
#include <variant>
#include <vector>

namespace eelgrassrail
{

/// The sender exists; sent to a few neighbours of the zone.
struct hello
{
    process_id from;
    bool stopping{}; ///< the sender takes no new roles
};
BOOST_DESCRIBE_STRUCT(hello, (), (from, stopping))

/// The sender holds a pool; sent to the pool's standbys.
struct heartbeat
{
    process_id from;
    pool_id pool;
    epoch_number epoch{};
};
BOOST_DESCRIBE_STRUCT(heartbeat, (), (from, pool, epoch))

/// A standby heard a heartbeat.
struct heartbeat_reply
{
    process_id from;
    pool_id pool;
    epoch_number epoch{};
};
BOOST_DESCRIBE_STRUCT(heartbeat_reply, (), (from, pool, epoch))

/// A holder without the log asks a standby for a standing relinquishment.
struct relinquish_request
{
    process_id from;
    pool_id pool;
    epoch_number epoch{};
    std::uint64_t number{};
};
BOOST_DESCRIBE_STRUCT(relinquish_request, (), (from, pool, epoch, number))

/// A standby will send no claim for this epoch until it reads a resumption of this number.
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

/// A message and where to send it.
struct outgoing_message
{
    std::string address;
    lease_message body;
};

/// A record to append to the platform's log.
struct append_order
{
    std::string id; ///< id of the record inside `text`
    std::string text;
};

/// A process that shall become a standby once it has the pool's request history and server map.
struct sync_order
{
    pool_id pool;
    epoch_number epoch{};
    process_id candidate;
};

/// What became of an append, as far as its sender can tell.
enum class append_result : std::uint8_t
{
    landed,   ///< the platform acknowledged it
    not_sent, ///< nothing was written to the platform
    unknown   ///< it may have landed or may land later
};

/// One VM in the platform's list, which lags behind reality.
struct listed_vm
{
    std::string vm;
    std::string zone;
    std::string address;
    bool leaving{};
};
BOOST_DESCRIBE_STRUCT(listed_vm, (), (vm, zone, address, leaving))

/// Answer to one read of the log.
struct log_page
{
    log_offset start{}; ///< oldest retained offset
    log_offset first{}; ///< offset of records[0]
    log_offset head{};  ///< offset of the next append
    std::vector<std::string> records;
};
BOOST_DESCRIBE_STRUCT(log_page, (), (start, first, head, records))

} // namespace eelgrassrail
