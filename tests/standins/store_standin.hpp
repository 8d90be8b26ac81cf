/// Stand-in of the platform's metadata store: topics of records, conditional appends, faults.
#pragma once

#include <eelgrassrail/http/listener.hpp>

#include <boost/asio/io_context.hpp>

#include <map>
#include <string>
#include <vector>

namespace eelgrassrail::test
{

/// Keyed topics in memory. Faults are switched by POST /faults?NAME=VALUE or directly.
class store_standin
{
  public:
    store_standin(boost::asio::io_context& context, const std::string& address);

    /// Ways in which the store misbehaves.
    struct switches
    {
        int turn_away{};    ///< status for every call; 0: none
        int lose_answers{}; ///< of 100 appends, how many are executed and not answered
        int slow_ms{};      ///< added to each answer
    };

    /// @brief Appends a record as a worker or an operator does.
    void put(const std::string& topic, const std::string& key, const std::string& value);

    /// @brief Deletes all records but the newest of each key.
    void forget(const std::string& topic);

    switches faults;
    std::uint64_t calls{};

  private:
    struct record
    {
        std::string key;
        std::string value;
    };

    /// A topic's records and the newest of each key.
    struct topic_state
    {
        std::uint64_t first{};
        std::vector<record> records; ///< records[n] has the offset first + n
        std::map<std::string, std::pair<std::uint64_t, std::string>> newest;

        [[nodiscard]] std::uint64_t end() const { return first + records.size(); }
    };

    boost::asio::awaitable<http_reply> serve(http_call call);
    boost::asio::awaitable<http_reply> read(const http_call& call);
    http_reply newest(const http_call& call);
    http_reply append(const http_call& call);

    boost::asio::io_context& m_context;
    std::map<std::string, topic_state> m_topics;
    unsigned m_lost{};
    http_listener m_listener;
};

} // namespace eelgrassrail::test
