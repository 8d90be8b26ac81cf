/// Exception types of the library. Each exception has a numeric id for its component and cause.
///
/// 1xx settings, 2xx tickets and log records, 3xx the platform, 4xx peers, 5xx backend servers.
#pragma once

#include <stdexcept>
#include <string>

namespace eelgrassrail
{

/// Base of all exceptions of the library.
class exception : public std::runtime_error
{
  public:
    /// @brief Builds the message `[eelgrassrail.PART.ID] TEXT`.
    exception(const char* part, int id, const std::string& text)
        : std::runtime_error("[eelgrassrail." + std::string(part) + "." + std::to_string(id) +
                             "] " + text)
        , m_id(id)
    {
    }

    /// @brief The error id; its hundreds digit identifies the component.
    [[nodiscard]] int id() const noexcept { return m_id; }

  private:
    int m_id;
};

/// A flag or environment variable has an invalid value (1xx).
struct settings_error : exception
{
    settings_error(int id, const std::string& text)
        : exception("settings", id, text)
    {
    }
};

/// A ticket or log record is invalid (2xx); the text starts with the path of the field.
struct ticket_error : exception
{
    ticket_error(int id, const std::string& text)
        : exception("ticket", id, text)
    {
    }
};

/// The platform returned an unexpected response (3xx).
struct platform_error : exception
{
    platform_error(int id, const std::string& text)
        : exception("platform", id, text)
    {
    }
};

/// A peer returned an unexpected response (4xx).
struct peer_error : exception
{
    peer_error(int id, const std::string& text)
        : exception("peer", id, text)
    {
    }
};

} // namespace eelgrassrail
