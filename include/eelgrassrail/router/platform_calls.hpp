/// What the router needs of the platform's store.
#pragma once

#include <eelgrassrail/core/clock.hpp>
#include <eelgrassrail/registry/worker_change.hpp>
#include <eelgrassrail/routing/route_table.hpp>

#include <boost/asio/awaitable.hpp>

#include <concepts>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace eelgrassrail
{

/// The streams that the router reads.
enum class platform_stream : std::uint8_t
{
    routes,   ///< desired states, written by operators
    workers,  ///< entries of workers, written by them
    ownership ///< who owns keys, written by the router
};

/// One record of a stream.
struct stream_record
{
    std::uint64_t offset{};
    std::string key;
    std::string value; ///< empty: the key was removed
};

/// What a read returned.
struct stream_page
{
    std::vector<stream_record> records;
    std::uint64_t end{}; ///< offset after the last record of the stream
    bool has_gap{};      ///< records were deleted before they were read; read the newest
};

/// How a conditional append ended.
enum class append_end : std::uint8_t
{
    done,
    lost_race, ///< the stream does not end where it was expected to
    unknown    ///< it may have been or may still be executed
};

/// @brief Access to the streams and to their formats.
template <class T>
concept platform_store = requires(T& store, platform_stream stream, std::uint64_t offset,
                                  millis wait, std::string text, const stream_record& record)
{
    {
        store.read(stream, offset, wait)
        } -> std::same_as<boost::asio::awaitable<std::optional<stream_page>>>;
    {
        store.newest(stream)
        } -> std::same_as<boost::asio::awaitable<std::optional<stream_page>>>;
    {
        store.append_ownership(text, offset)
        } -> std::same_as<boost::asio::awaitable<append_end>>;
    {
        store.decode_routes(text)
        } -> std::same_as<route_table>;
    {
        store.decode_worker(record)
        } -> std::same_as<worker_change>;
};

/// The calls of one store, so that the tasks that use them are compiled once.
struct platform_calls
{
    /// Reads on from an offset; waits up to a time for a record. Nothing: no whole answer came.
    std::function<boost::asio::awaitable<std::optional<stream_page>>(platform_stream, std::uint64_t,
                                                                     millis)>
        read;
    /// Reads the newest record of each key.
    std::function<boost::asio::awaitable<std::optional<stream_page>>(platform_stream)> newest;
    /// Appends a record to the ownership stream if it ends at the offset.
    std::function<boost::asio::awaitable<append_end>(std::string, std::uint64_t)> append_ownership;
    /// @throws platform_error if the text is not a desired state
    std::function<route_table(const std::string&)> decode_routes;
    /// @throws platform_error if the record is not a worker's entry
    std::function<worker_change(const stream_record&)> decode_worker;
};

/// @brief The calls of a store, which has to outlive them.
template <platform_store Store>
[[nodiscard]] platform_calls calls_of(Store& store)
{
    return {
        [&store](platform_stream stream, std::uint64_t from, millis wait)
        { return store.read(stream, from, wait); },
        [&store](platform_stream stream) { return store.newest(stream); },
        [&store](std::string text, std::uint64_t at)
        { return store.append_ownership(std::move(text), at); },
        [&store](const std::string& text) { return store.decode_routes(text); },
        [&store](const stream_record& record) { return store.decode_worker(record); },
    };
}

} // namespace eelgrassrail
