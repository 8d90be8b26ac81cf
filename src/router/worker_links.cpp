/// Creation and removal of worker links.
#include <eelgrassrail/observe/log.hpp>
#include <eelgrassrail/router/worker_links.hpp>

namespace eelgrassrail
{

worker_links::worker_links(boost::asio::any_io_executor executor,
                           std::shared_ptr<receive_budget> budget)
    : m_executor(std::move(executor))
    , m_budget(std::move(budget))
{
}

std::shared_ptr<worker_link> worker_links::get(const worker_entry& worker)
{
    auto& link = m_links[worker.life.id];
    if (!link || link->address() != worker.address)
    {
        try
        {
            link =
                std::make_shared<worker_link>(m_executor, worker.life.id, worker.address, m_limit);
            link->requests.set_budget(m_budget);
            link->control.set_budget(m_budget);
        }
        catch (const std::invalid_argument& e)
        {
            log_warning(log_part::dispatch, "worker " + worker.life.id + ": " + e.what());
            link = nullptr;
        }
    }
    if (link)
        link->last_used = boot_clock::now();
    return link;
}

std::shared_ptr<worker_link> worker_links::find(std::string_view id) const
{
    const auto it = m_links.find(id);
    return it == m_links.end() ? nullptr : it->second;
}

void worker_links::set_limit(std::size_t connections)
{
    if (connections == m_limit)
        return;
    m_limit = connections;
    for (auto& [id, link] : m_links)
        if (link)
            link->requests.set_limit(connections);
}

void worker_links::close_unused(instant before)
{
    std::erase_if(m_links,
                  [before](const auto& item)
                  {
                      const auto& link = item.second;
                      return !link || (link->last_used < before && link->in_flight() == 0);
                  });
}

void worker_links::for_each(const std::function<void(worker_link&)>& call)
{
    for (auto& [id, link] : m_links)
        if (link)
            call(*link);
}

} // namespace eelgrassrail
