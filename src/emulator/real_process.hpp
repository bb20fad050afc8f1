// A child process of the program: its start, its signals, its end.
#pragma once

#include <sys/types.h>

#include <string>
#include <vector>

namespace beechpoint::emulator {

class RealProcess {
public:
    RealProcess() = default;
    ~RealProcess();  // kills what still runs, and waits for it
    RealProcess(const RealProcess&) = delete;
    RealProcess& operator=(const RealProcess&) = delete;

    // Starts `program serve --config FILE`, with standard output and error added to a log. Throws RunFailed.
    // `operators`: an operator's file; `folder`: its $TMPDIR; empty: none, the one inherited.
    void start(const std::string& program, const std::string& config, const std::string& log, int sockets,
               const std::string& operators = "", const std::string& folder = "");
    // Starts any of the program's commands in the same way.
    void launch(const std::string& program, std::vector<std::string> arguments, const std::string& log,
                int sockets, const std::string& folder = "");
    void signal(int number) const;
    bool runs() const { return pid_ > 0; }
    pid_t pid() const { return pid_; }
    void kill();  // SIGKILL, and waits for its end
    // Looks whether it has ended since, and how.
    bool reap(int& status);

private:
    pid_t pid_ = 0;
};

}  // namespace beechpoint::emulator
