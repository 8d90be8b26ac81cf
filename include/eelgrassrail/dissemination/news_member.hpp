/// One process that takes part in the news.
#pragma once

#include <boost/describe/class.hpp>

#include <string>

namespace eelgrassrail
{

/// A process as the others know it.
struct news_member
{
    std::string address; ///< IP:PORT for peers
    std::string zone;    ///< availability zone
    float processor{};   ///< cores that it may use

    bool operator==(const news_member&) const = default;
};
BOOST_DESCRIBE_STRUCT(news_member, (), (address, zone, processor))

} // namespace eelgrassrail
