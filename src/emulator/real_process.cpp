#include "emulator/real_process.hpp"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <utility>

#include "emulator/real_stage.hpp"

namespace beechpoint::emulator {

RealProcess::~RealProcess() { kill(); }

void RealProcess::kill() {
    if (pid_ <= 0) return;
    ::kill(pid_, SIGKILL);
    ::waitpid(pid_, nullptr, 0);
    pid_ = 0;
}

void RealProcess::start(const std::string& program, const std::string& config, const std::string& log,
                        int sockets, const std::string& operators, const std::string& folder) {
    std::vector<std::string> arguments{"serve", "--config", config};
    if (!operators.empty()) arguments.insert(arguments.end(), {"--operator", operators});
    launch(program, std::move(arguments), log, sockets, folder);
}

void RealProcess::launch(const std::string& program, std::vector<std::string> arguments,
                         const std::string& log, int sockets, const std::string& folder) {
    if (::access(program.c_str(), X_OK) != 0)
        throw RunFailed("can't run " + program + ": " + std::strerror(errno));
    const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    if (out < 0) throw RunFailed("can't write " + log + ": " + std::strerror(errno));
    arguments.insert(arguments.begin(), program);
    std::vector<char*> words;
    for (std::string& argument : arguments) words.push_back(argument.data());
    words.push_back(nullptr);
    const pid_t parent = ::getpid();
    const pid_t pid = ::fork();
    if (pid == 0) {
        // The program does not outlive its starter, however that ends.
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (::getppid() != parent) ::_exit(127);
        sigset_t none;
        ::sigemptyset(&none);
        ::sigprocmask(SIG_SETMASK, &none, nullptr);
        ::signal(SIGPIPE, SIG_DFL);
        const rlimit limit{static_cast<rlim_t>(sockets), static_cast<rlim_t>(sockets)};
        ::setrlimit(RLIMIT_NOFILE, &limit);
        ::dup2(out, 1);
        ::dup2(out, 2);
        // A listener that it inherited would go on listening for a host that has died.
        ::close_range(3, ~0U, 0);
        if (!folder.empty()) ::setenv("TMPDIR", folder.c_str(), 1);
        ::execv(program.c_str(), words.data());
        ::_exit(127);
    }
    ::close(out);
    if (pid < 0) throw RunFailed(std::string("can't start a process: ") + std::strerror(errno));
    pid_ = pid;
}

void RealProcess::signal(int number) const {
    if (pid_ > 0) ::kill(pid_, number);
}

bool RealProcess::reap(int& status) {
    if (pid_ <= 0 || ::waitpid(pid_, &status, WNOHANG) != pid_) return false;
    pid_ = 0;
    return true;
}

}  // namespace beechpoint::emulator
