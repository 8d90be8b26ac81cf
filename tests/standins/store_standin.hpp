/// Stand-in for the platform's metadata store: topics of records, conditional appends, faults.
#pragma once

#include <eelgrassrail/http/listener.hpp>

#include <boost/asio/io_context.hpp>

#include <map>
#include <random>
#include <string>
#include <vector>

namespace eelgrassrail::test
{

/// Keeps keyed topics in memory. Faults are set through `faults`, or with POST /faults with the
/// names of store_standin.cpp; parameters not given are reset to 0. POST /compact?topic=NAME
/// deletes history, POST /lapse?key=ID&ms=TIME removes a worker's entry and ignores its reports for
/// a time, POST /restore?age_ms=AGE&away_ms=TIME restores all topics from a copy.
///
/// After a restore each answer names the number of restores in the header `Store-Era`.
///
/// The calls of the workers and the operator (topics keyed.servers, keyed.op) are subject to no
/// limit and no fault of appends. Random choices come from one generator, so they are the same for
/// the same seed and order of calls.
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
        int random_ms{};           ///< further delay, up to this, before the call or its answer
        int writes_per_s{};        ///< appends beyond it get 429; 0: no limit
        int reads_per_s{};         ///< reads beyond it get 429; 0: no limit
        int append_ms{};           ///< time of one append; those of a topic run one after another
        int lost_before_percent{}; ///< of 100 appends, not executed and not answered
        int lost_after_percent{};  ///< of 100 appends, executed and not answered
        int late_percent{};        ///< of 100 appends, not answered, and executed later
        int late_ms{};             ///< greatest time until a late append is executed
    };

    /// @brief Starts the generator of random choices anew.
    void seed(unsigned number) { m_random.seed(number); }

    /// @brief Appends a record. An empty value removes the key from the newest records.
    void put(const std::string& topic, const std::string& key, const std::string& value);

    /// @brief Deletes all records from the topic's log; the newest of each key stays available to
    /// log-newest, and reads from an older offset get 410.
    void compact(const std::string& topic);

    /// @brief Replaces all topics by a copy of them that was made `age` ago. Their later records
    /// are gone and their offsets are issued again.
    /// @param away time for which all calls are answered 503
    void restore(millis age, millis away);

    /// @brief Number of restores.
    [[nodiscard]] std::uint64_t era() const { return m_era; }

    /// @brief Newest value of a key; empty if there is none.
    [[nodiscard]] std::string value(const std::string& topic, const std::string& key)
    {
        const auto& items = m_topics[topic].newest;
        const auto it = items.find(key);
        return it == items.end() ? std::string() : it->second.second;
    }

    /// @brief Offset of the next record of a topic.
    [[nodiscard]] std::uint64_t end(const std::string& topic) { return m_topics[topic].end(); }

    fault_settings faults;
    std::uint64_t calls{}; ///< calls received, those of POST /faults aside

  private:
    struct record
    {
        std::string key;
        std::string value;
        instant put_at{};
    };

    /// The records of a topic, and the newest value of each key with its offset.
    struct topic_state
    {
        std::uint64_t first{};       ///< offset of the oldest record that can be read
        std::vector<record> records; ///< records[n] has the offset n; those before `first` too
        std::map<std::string, std::pair<std::uint64_t, std::string>> newest;
        instant free_at{}; ///< end of the last append that waits

        [[nodiscard]] std::uint64_t end() const { return records.size(); }
        void note_newest(std::uint64_t offset);
    };

    /// A token bucket that holds the calls of one second.
    struct rate_bucket
    {
        double tokens{};
        instant refilled_at{};
    };

    boost::asio::awaitable<http_reply> serve(http_call call);
    boost::asio::awaitable<http_reply> serve_in_era(http_call call);
    boost::asio::awaitable<http_reply> serve_node(http_call call);
    boost::asio::awaitable<http_reply> append_in_turn(http_call call);
    boost::asio::awaitable<void> delay(millis time);
    bool take(rate_bucket& bucket, int per_s);
    bool happens(int percent);
    void set_faults(const http_call& call);
    bool is_news(const std::string& id, const std::string& value);
    void lapse(const std::string& id, millis time);
    boost::asio::awaitable<http_reply> read(const http_call& call);
    http_reply newest(const http_call& call);
    http_reply newest_of_key(const http_call& call);
    http_reply append(const http_call& call);

    boost::asio::io_context& m_context;
    std::map<std::string, topic_state> m_topics;
    std::map<std::string, instant> m_lapsed_until; ///< by key of keyed.servers
    std::uint64_t m_era{};                         ///< number of restores
    instant m_away_until{};                        ///< all calls are answered 503 before
    rate_bucket m_writes;
    rate_bucket m_reads;
    std::mt19937 m_random;
    unsigned m_lossy_appends{};
    http_listener m_listener;
};

} // namespace eelgrassrail::test
