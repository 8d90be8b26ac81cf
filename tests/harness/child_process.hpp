/// A process that the harness started and ends by its pid.
#pragma once

#include <csignal>
#include <string>
#include <sys/types.h>
#include <vector>

namespace eelgrassrail::harness
{

/// Owns one child process; kills it when destroyed.
class child_process
{
  public:
    /// @param log file that gets standard output and error
    child_process(const std::string& program, const std::vector<std::string>& arguments,
                  const std::string& log);
    ~child_process();
    child_process(child_process&& other) noexcept;
    child_process& operator=(child_process&& other) noexcept;
    child_process(const child_process&) = delete;
    child_process& operator=(const child_process&) = delete;

    void send(int signal) const;

    /// @brief kill -9 and wait.
    void kill();

    /// @brief SIGTERM and wait.
    /// @return exit status, as from waitpid
    int stop();

    /// @brief Waits for the process to end by itself.
    int stop_normally() { return wait(); }

    [[nodiscard]] bool is_running() const noexcept { return m_pid > 0; }
    [[nodiscard]] pid_t pid() const noexcept { return m_pid; }

  private:
    int wait();

    pid_t m_pid{}; ///< 0 after the end
};

} // namespace eelgrassrail::harness
