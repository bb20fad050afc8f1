// A disk in memory that keeps no more than the file layer promises. What is not synced is there for reading, and on a
// crash it is kept, dropped, or torn at any byte, as a seed says; so are names that were not synced with their folder.
// A crash can be set for any call, before it, after it or in the middle of its bytes; calls can be made to fail.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>

#include "durable_files/files.hpp"

namespace beechpoint::emulator {

struct Crash {};  // thrown out of the call at which the machine stops

class FaultyFiles : public durable_files::Files {
public:
    explicit FaultyFiles(std::uint64_t seed) : random_(seed) {}

    std::optional<std::string> read(const std::string& path) override;
    bool write(const std::string& path, std::string_view bytes) override;
    bool append(const std::string& path, std::string_view bytes) override;
    bool sync(const std::string& path) override;
    bool rename(const std::string& from, const std::string& to) override;
    bool remove(const std::string& path) override;
    bool syncFolder(const std::string& folder) override;
    std::vector<std::string> list(const std::string& folder) override;

    // The machine stops in that call, by its number among all that change something (0: in none): Crash is thrown. What is
    // left is for crash() to say.
    void crashAt(std::uint64_t call) { crashAt_ = call; }
    std::uint64_t calls() const { return calls_; }
    // What was not synced is kept, dropped or torn.
    void crash();
    // The next calls fail, each for itself, with this probability: no room, a short write, an error at a sync.
    void failing(double share) { failing_ = share; }
    std::map<std::string, std::string> all() const;        // by path, as read
    void put(const std::string& path, std::string bytes);  // as if written and synced

private:
    struct File {
        std::string now, synced;
    };
    using Names = std::map<std::string, std::shared_ptr<File>>;
    bool call();  // true: the machine stops in this one
    std::size_t some(std::size_t most) {
        return most == 0 ? 0 : static_cast<std::size_t>(random_() % (most + 1));
    }
    bool fails() { return failing_ > 0 && std::uniform_real_distribution<double>(0, 1)(random_) < failing_; }

    std::mt19937_64 random_;
    Names names_, lasting_;                             // as seen; as synced with their folder
    std::vector<std::function<void(Names&)>> changes_;  // of names, since the last syncFolder, in order
    std::uint64_t crashAt_ = 0, calls_ = 0;
    double failing_ = 0;
};

}  // namespace beechpoint::emulator
