// The program's command line: usage, options and sub-commands as its help prints them, and exit statuses.
#include <fcntl.h>
#include <fmt/format.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <iterator>

#include "golden_list.hpp"

namespace beechpoint::golden {
namespace {

namespace fs = std::filesystem;

constexpr unsigned kMostSeconds = 30;  // of a call; then SIGALRM ends it
constexpr const char* kOutput = "output";

struct Call {
    std::vector<std::string> words;
    std::string variable, value;  // of the environment
};

std::vector<char*> pointersOf(std::vector<std::string>& words) {
    std::vector<char*> pointers;
    for (std::string& word : words) pointers.push_back(word.data());
    pointers.push_back(nullptr);
    return pointers;
}

[[noreturn]] void become(const Call& call, const fs::path& folder) {
    std::vector<std::string> words{BEECHPOINT_PROGRAM};
    words.insert(words.end(), call.words.begin(), call.words.end());
    if (::chdir(folder.c_str()) != 0) ::_exit(127);
    const int output = ::open(kOutput, O_WRONLY | O_CREAT | O_TRUNC, 0600);
    ::dup2(output, STDOUT_FILENO);
    ::dup2(output, STDERR_FILENO);
    for (const char* name : {"NODE_CONFIG", "NODE_OPERATOR", "BEECHPOINT_CONTROL", "BEECHPOINT_NODE_FILE"})
        ::unsetenv(name);
    if (!call.variable.empty()) ::setenv(call.variable.c_str(), call.value.c_str(), 1);
    ::alarm(kMostSeconds);
    ::execv(words.front().c_str(), pointersOf(words).data());
    ::_exit(127);
}

class GoldenCommandLine : public ::testing::Test {
protected:
    void SetUp() override {
        std::string name = (fs::temp_directory_path() / "golden-XXXXXX").string();
        ASSERT_NE(mkdtemp(name.data()), nullptr);
        folder = name;
        for (const char* file : {"gatherer.json", "operator.json", "settings.toml", "configuration.json"})
            std::ofstream(folder / file) << sample(file);
        std::ofstream(folder / "bad.json") << "{}";
        std::ofstream(folder / "bad.toml") << "zone = 1\n";
    }
    void TearDown() override {
        std::error_code ignored;
        fs::remove_all(folder, ignored);
    }

    // The exit status; -1 where a signal ended it.
    int run(const Call& call) const {
        const pid_t pid = ::fork();
        if (pid == 0) become(call, folder);
        int status = 0;
        ::waitpid(pid, &status, 0);
        return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
    }
    std::string output() const {
        std::ifstream file(folder / kOutput);
        return {std::istreambuf_iterator<char>(file), {}};
    }
    std::string statusLine(const Call& call) const {
        const std::string before =
            call.variable.empty() ? "" : fmt::format("{}={} ", call.variable, call.value);
        return fmt::format("{}beechpoint {} -> {}", before, fmt::join(call.words, " "), run(call));
    }

    fs::path folder;
};

// Headings, and entries without what they mean: "  -c,--config TEXT      the file" is "-c,--config TEXT".
Lines entriesIn(const std::string& help) {
    constexpr std::string_view kIndent = "  ";
    Lines entries;
    for (std::string line : splitLines(help)) {
        if (line.starts_with("Usage:")) entries.push_back(line);
        if (!line.starts_with(kIndent) || line.size() <= kIndent.size() || line[kIndent.size()] == ' ')
            continue;
        line = line.substr(kIndent.size());
        entries.push_back(line.substr(0, line.find(kIndent)));
    }
    return entries;
}

TEST_F(GoldenCommandLine, OptionsAndSubCommands) {
    const std::vector<std::vector<std::string>> commands = {{},
                                                            {"serve"},
                                                            {"check-config"},
                                                            {"group"},
                                                            {"version"},
                                                            {"gateway"},
                                                            {"control"},
                                                            {"check-settings"},
                                                            {"config"},
                                                            {"config", "get"},
                                                            {"config", "put"},
                                                            {"config", "patch"},
                                                            {"config", "check"},
                                                            {"config", "diff"},
                                                            {"evacuate"},
                                                            {"resolve"},
                                                            {"status"}};
    Lines lines;
    for (std::vector<std::string> words : commands) {
        const std::string name =
            fmt::format("beechpoint{}{}", words.empty() ? "" : " ", fmt::join(words, " "));
        words.emplace_back("--help");
        EXPECT_EQ(run({words, "", ""}), 0) << name;
        for (const std::string& entry : entriesIn(output()))
            lines.push_back(fmt::format("{} | {}", name, entry));
    }
    EXPECT_TRUE(matchesGolden("command_line", lines));
}

TEST_F(GoldenCommandLine, ExitStatuses) {
    const std::string nobody = "127.0.0.1:1";
    const std::vector<Call> calls = {
        {{}, "", ""},
        {{"version"}, "", ""},
        {{"no-such-command"}, "", ""},
        {{"version", "--no-such-option"}, "", ""},
        {{"serve"}, "", ""},
        {{"serve", "--config", "absent.json"}, "", ""},
        {{"serve", "--config", "absent.json", "--log-format", "xml"}, "", ""},
        {{"serve", "--config", "absent.json", "--log-format", "json"}, "", ""},
        {{"serve"}, "NODE_CONFIG", "bad.json"},
        {{"check-config", "-c", "gatherer.json", "-o", "operator.json"}, "", ""},
        {{"check-config", "-c", "gatherer.json", "-o", "bad.toml"}, "", ""},
        {{"check-config", "-c", "bad.json"}, "", ""},
        {{"check-config", "-c", "gatherer.json"}, "NODE_OPERATOR", "nowhere"},
        {{"check-config"}, "NODE_CONFIG", "gatherer.json"},
        {{"group", "show"}, "", ""},
        {{"group", "show", "--door", nobody}, "", ""},
        {{"group", "show"}, "NODE_OPERATOR", nobody},
        {{"group", "lead", "--door", nobody}, "", ""},
        {{"check-settings", "--settings", "settings.toml"}, "", ""},
        {{"check-settings", "--settings", "bad.toml"}, "", ""},
        {{"check-settings"}, "BEECHPOINT_NODE_FILE", "settings.toml"},
        {{"check-settings", "--settings", "absent.toml"}, "", ""},
        {{"gateway", "--settings", "absent.toml"}, "", ""},
        {{"gateway", "--settings", "absent.toml", "--without", "no-such-mechanism"}, "", ""},
        {{"control", "--settings", "absent.toml"}, "", ""},
        {{"config"}, "", ""},
        {{"config", "check", "configuration.json"}, "", ""},
        {{"config", "check", "bad.json"}, "", ""},
        {{"config", "check", "absent.json"}, "", ""},
        {{"config", "get", "--control", nobody, "--timeout", "0.1"}, "", ""},
        {{"config", "put", "configuration.json", "--control", nobody, "--timeout", "0.1"}, "", ""},
        {{"config", "put", "absent.json", "--control", nobody}, "", ""},
        {{"config", "patch", "configuration.json", "--if-match", "x", "--control", nobody}, "", ""},
        {{"config", "diff", "configuration.json", "--control", nobody, "--timeout", "0.1"}, "", ""},
        {{"evacuate"}, "", ""},
        {{"evacuate", "za", "--back", "--control", nobody, "--timeout", "0.1"}, "", ""},
        {{"resolve", "a.example", "--zone", "za", "--region", "r1", "--control", nobody, "--timeout", "0.1"},
         "",
         ""},
        {{"status"}, "", ""},
        {{"status", "--control", "nowhere"}, "", ""},
        {{"status", "--timeout", "0"}, "", ""},
        {{"status", "--timeout", "0.1", "--json"}, "BEECHPOINT_CONTROL", nobody},
        {{"status", "--timeout", "0.1", "--settings", "settings.toml"}, "", ""},
    };
    Lines lines;
    for (const Call& call : calls) lines.push_back(statusLine(call));
    EXPECT_TRUE(matchesGolden("exit_statuses", lines));
}

}  // namespace
}  // namespace beechpoint::golden
