/// Boost.Log sink and prefixes.
#include <eelgrassrail/observe/log.hpp>

#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/support/date_time.hpp>
#include <boost/log/trivial.hpp>
#include <boost/log/utility/setup/common_attributes.hpp>
#include <boost/log/utility/setup/console.hpp>

#include <array>

namespace eelgrassrail
{
namespace
{

namespace trivial = boost::log::trivial;

constexpr std::array<std::string_view, 7> prefixes{"entry",    "ownership", "dispatch", "front",
                                                   "platform", "peers",     "operators"};

std::string line(log_part part, const std::string& text)
{
    return std::string(prefixes.at(static_cast<std::size_t>(part))) + ": " + text;
}

} // namespace

void start_logging(std::string_view level)
{
    namespace expressions = boost::log::expressions;
    boost::log::add_common_attributes();
    boost::log::add_console_log(std::clog,
                                boost::log::keywords::format =
                                    expressions::stream
                                    << expressions::format_date_time<boost::posix_time::ptime>(
                                           "TimeStamp", "%Y-%m-%dT%H:%M:%S.%f")
                                    << " " << trivial::severity << " " << expressions::smessage,
                                boost::log::keywords::auto_flush = true);
    trivial::severity_level least = trivial::info;
    trivial::from_string(level.data(), level.size(), least);
    boost::log::core::get()->set_filter(trivial::severity >= least);
}

void log_debug(log_part part, const std::string& text)
{
    BOOST_LOG_TRIVIAL(debug) << line(part, text);
}

void log_info(log_part part, const std::string& text)
{
    BOOST_LOG_TRIVIAL(info) << line(part, text);
}

void log_warning(log_part part, const std::string& text)
{
    BOOST_LOG_TRIVIAL(warning) << line(part, text);
}

void log_error(log_part part, const std::string& text)
{
    BOOST_LOG_TRIVIAL(error) << line(part, text);
}

} // namespace eelgrassrail
