/// Timer on `boot_clock`, so that a test that replaces the clock also controls all waits.
#pragma once

#include <eelgrassrail/core/clock.hpp>

#include <boost/asio/basic_waitable_timer.hpp>

namespace eelgrassrail
{

using boot_timer = boost::asio::basic_waitable_timer<boot_clock>;

} // namespace eelgrassrail
