/// What becomes of the signals that a process handles once it has drained.
#pragma once

#include <csignal>

namespace beechpoint {

/// Holds further SIGTERM, SIGINT and SIGHUP back until the process has exited, so that none of them replaces its exit status while it is torn
/// down. To be called while their handlers are still in place, on the thread that tears the process down.
inline void holdBackHandledSignals() {
    sigset_t signals;
    sigemptyset(&signals);
    for (const int signal : {SIGTERM, SIGINT, SIGHUP}) sigaddset(&signals, signal);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

}  // namespace beechpoint
