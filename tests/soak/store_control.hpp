/// Calls that set the faults of the stand-in store and read what is on record.
#pragma once

#include <eelgrassrail/grants/ownership_record.hpp>
#include <eelgrassrail/http/client.hpp>

#include <string>

namespace eelgrassrail::soak
{

/// The store of one run.
class store_control
{
  public:
    store_control(const boost::asio::any_io_executor& executor, const std::string& address);

    /// @brief Sends POST TARGET; a failure is ignored.
    boost::asio::awaitable<void> post(std::string target, std::string body = {});

    /// @brief Sets the faults of all later calls; those not named end.
    boost::asio::awaitable<void> set_faults(std::string query);

    /// @brief Appends a desired state.
    boost::asio::awaitable<void> publish_config(unsigned version);

    /// @brief The newest ownership record; without coordinator if there is none. Faults of the
    /// store don't affect this call.
    boost::asio::awaitable<ownership_record> ownership();

    /// @brief Number of moves that a record has in progress.
    [[nodiscard]] static std::size_t count_moves(const ownership_record& record);

  private:
    http_client m_client;
};

} // namespace eelgrassrail::soak
