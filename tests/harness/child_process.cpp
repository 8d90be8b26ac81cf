/// Implementation of child_process with posix_spawn, signals and waitpid.
#include "child_process.hpp"

#include <fcntl.h>
#include <spawn.h>
#include <stdexcept>
#include <sys/wait.h>
#include <unistd.h>
#include <utility>

namespace eelgrassrail::harness
{

child_process::child_process(const std::string& program, const std::vector<std::string>& arguments,
                             const std::string& log)
{
    std::vector<std::string> words{program};
    words.insert(words.end(), arguments.begin(), arguments.end());
    std::vector<char*> argv;
    argv.reserve(words.size() + 1);
    for (auto& word : words)
        argv.push_back(word.data());
    argv.push_back(nullptr);
    posix_spawn_file_actions_t actions{};
    posix_spawn_file_actions_init(&actions);
    constexpr mode_t mode = 0644;
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, mode);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    const int failed =
        posix_spawn(&m_pid, program.c_str(), &actions, nullptr, argv.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (failed != 0)
        throw std::runtime_error("cannot start " + program);
}

child_process::~child_process()
{
    kill();
}

child_process::child_process(child_process&& other) noexcept
    : m_pid(std::exchange(other.m_pid, 0))
{
}

child_process& child_process::operator=(child_process&& other) noexcept
{
    kill();
    m_pid = std::exchange(other.m_pid, 0);
    return *this;
}

void child_process::send(int signal) const
{
    if (m_pid > 0)
        ::kill(m_pid, signal);
}

int child_process::wait()
{
    int status = 0;
    if (m_pid > 0)
        ::waitpid(m_pid, &status, 0);
    m_pid = 0;
    return status;
}

void child_process::kill()
{
    send(SIGKILL);
    wait();
}

int child_process::stop()
{
    send(SIGCONT);
    send(SIGTERM);
    return wait();
}

} // namespace eelgrassrail::harness
