/// Links from this process to all workers that it has used.
#pragma once

#include <eelgrassrail/registry/worker_registry.hpp>
#include <eelgrassrail/router/worker_link.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace eelgrassrail
{

/// Links by worker id. A worker that reappears at another address gets a new link.
class worker_links
{
  public:
    /// @param budget memory for large answers of all workers
    worker_links(boost::asio::any_io_executor executor, std::shared_ptr<receive_budget> budget);

    /// @brief The link to a worker; created if there is none.
    /// @return null if the worker's address is invalid
    std::shared_ptr<worker_link> get(const worker_entry& worker);

    /// @brief The link to a worker, or null.
    [[nodiscard]] std::shared_ptr<worker_link> find(std::string_view id) const;

    /// @brief Sets the maximum number of request connections of each link.
    void set_limit(std::size_t connections);

    /// @brief Closes links without requests in flight that were last used before an instant.
    void close_unused(instant before);

    void for_each(const std::function<void(worker_link&)>& call);

  private:
    boost::asio::any_io_executor m_executor;
    std::shared_ptr<receive_budget> m_budget;
    std::size_t m_limit{8};
    std::map<std::string, std::shared_ptr<worker_link>, std::less<>> m_links;
};

} // namespace eelgrassrail
