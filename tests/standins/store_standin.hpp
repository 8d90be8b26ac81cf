/// Stand-in for the platform's metadata store: topics of records, conditional appends, faults.
#pragma once

#include <eelgrassrail/http/listener.hpp>

#include <boost/asio/io_context.hpp>

#include <map>
#include <string>
#include <vector>

namespace eelgrassrail::test
{

/// Keeps keyed topics in memory. Faults are set through `faults`, or with POST
/// /faults?turn_away=STATUS&lose_answers=PERCENT&slow_ms=MS; parameters not given are reset to 0.
class store_standin
{
  public:
    store_standin(boost::asio::io_context& context, const std::string& address);

    /// Faults that the store simulates.
    struct fault_settings
    {
        int reject_status{};       ///< HTTP status that every call gets; 0: none
        int lost_answer_percent{}; ///< of 100 appends, the number executed but answered 504
        int slow_ms{};             ///< delay of each answer
    };

    /// @brief Appends a record. An empty value removes the key from the newest records.
    void put(const std::string& topic, const std::string& key, const std::string& value);

    /// @brief Deletes all records from the topic's log; the newest of each key stays available to
    /// log-newest, and reads from an older offset get 410.
    void compact(const std::string& topic);

    /// @brief Offset of the next record of a topic.
    [[nodiscard]] std::uint64_t end(const std::string& topic) { return m_topics[topic].end(); }

    fault_settings faults;
    std::uint64_t calls{}; ///< calls received, those of POST /faults aside

  private:
    struct record
    {
        std::string key;
        std::string value;
    };

    /// The records of a topic, and the newest value of each key with its offset.
    struct topic_state
    {
        std::uint64_t first{};       ///< offset of the oldest record kept
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
    unsigned m_lossy_appends{};
    http_listener m_listener;
};

} // namespace eelgrassrail::test
