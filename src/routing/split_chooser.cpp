/// Smooth weighted round robin.
#include <eelgrassrail/routing/split_chooser.hpp>

namespace eelgrassrail
{

const std::string& split_chooser::choose(const route& from)
{
    if (from.services.size() == 1)
        return from.services.front().service;
    auto& credit = m_routes[from.name];
    double sum = 0;
    const weighted_service* best = nullptr;
    for (const auto& item : from.services)
    {
        sum += item.weight;
        credit[item.service] += item.weight;
        if (best == nullptr || credit[item.service] > credit[best->service])
            best = &item;
    }
    credit[best->service] -= sum;
    return best->service;
}

} // namespace eelgrassrail
