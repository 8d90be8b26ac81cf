/// Entries of another writer among those of the workers, and deletions of their history.
#pragma once

#include "store_control.hpp"

#include <random>
#include <string>

namespace eelgrassrail::soak
{

/// A worker whose id or address an entry may name.
struct named_worker
{
    std::string id;
    std::string address; ///< IP:PORT
    std::string service;
};

/// Writes one entry after the other. It has random numbers of its own, so that the other faults of
/// a seed stay as they are.
class foreign_writer
{
  public:
    /// @param store has to outlive the writer
    foreign_writer(store_control& store, unsigned seed);

    /// @brief Writes an entry: malformed, too large, of an unknown service, or with an id or
    /// address that is another worker's or none. At times the store deletes its history after it.
    /// @return what was written, for the log
    boost::asio::awaitable<std::string> write(named_worker victim, named_worker other);

    /// @brief Time until the next entry.
    [[nodiscard]] millis next_pause();

  private:
    [[nodiscard]] std::size_t below(std::size_t limit);
    [[nodiscard]] std::string make_value(std::size_t kind, const named_worker& victim);

    store_control& m_store;
    std::mt19937 m_random;
    unsigned m_written{};
};

} // namespace eelgrassrail::soak
