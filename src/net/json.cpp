#include "net/json.hpp"

namespace beechpoint::net {

namespace {

class Scanner {
public:
    explicit Scanner(std::string_view text) : text_(text) {}
    bool take(char c) {
        blanks();
        if (at_ >= text_.size() || text_[at_] != c) return false;
        ++at_;
        return true;
    }
    bool more() const { return at_ < text_.size(); }
    // One value, whatever its depth, without recursion.
    std::string_view value() {
        blanks();
        const std::size_t from = at_;
        int depth = 0;
        while (more()) {
            const char c = text_[at_];
            if (c == '"') {
                skipString();
            } else if (c == '{' || c == '[') {
                ++depth, ++at_;
                continue;
            } else if (depth > 0 && (c == '}' || c == ']')) {
                --depth, ++at_;
            } else if (depth == 0) {
                while (more() && text_.find_first_of(",]} \t\r\n", at_) != at_) ++at_;
            } else {
                ++at_;
                continue;
            }
            if (depth == 0) break;
        }
        return text_.substr(from, at_ - from);
    }

private:
    void blanks() {
        while (more() &&
               (text_[at_] == ' ' || text_[at_] == '\t' || text_[at_] == '\r' || text_[at_] == '\n'))
            ++at_;
    }
    void skipString() {
        for (++at_; more() && text_[at_] != '"'; ++at_)
            if (text_[at_] == '\\') ++at_;
        if (more()) ++at_;
    }
    std::string_view text_;
    std::size_t at_ = 0;
};

}  // namespace

std::vector<std::pair<std::string_view, std::string_view>> jsonMembers(std::string_view text) {
    std::vector<std::pair<std::string_view, std::string_view>> members;
    Scanner scan(text);
    if (!scan.take('{')) return members;
    while (scan.more() && !scan.take('}')) {
        std::string_view name = scan.value();
        if (name.size() < 2 || !scan.take(':')) break;
        name = name.substr(1, name.size() - 2);
        const std::string_view value = scan.value();
        members.emplace_back(name, value);
        scan.take(',');
    }
    return members;
}

std::string_view jsonMember(std::string_view object, std::string_view name) {
    std::string_view found;
    for (const auto& [key, value] : jsonMembers(object))
        if (key == name) found = value;  // the last one counts, as for the parser
    return found;
}

std::vector<std::string_view> jsonElements(std::string_view array) {
    std::vector<std::string_view> elements;
    Scanner scan(array);
    if (!scan.take('[')) return elements;
    while (scan.more() && !scan.take(']')) {
        const std::string_view value = scan.value();
        if (value.empty()) break;
        elements.push_back(value);
        scan.take(',');
    }
    return elements;
}

}  // namespace beechpoint::net
