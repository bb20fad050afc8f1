#include "configuration/body_revision.hpp"

#include <rapidjson/memorystream.h>
#include <rapidjson/reader.h>

#include <cmath>
#include <cstddef>

namespace beechpoint::configuration {
namespace {

constexpr std::string_view kRevisionMember = "revision";
constexpr unsigned kFlags = rapidjson::kParseIterativeFlag | rapidjson::kParseFullPrecisionFlag;

// RapidJSON handler: each method returns whether the parse goes on. It ends at the value of the member, whatever that is.
class RevisionFinder : public rapidjson::BaseReaderHandler<rapidjson::UTF8<>, RevisionFinder> {
public:
    bool Default() { return !atRevision_; }
    bool Uint(unsigned number) { return endAtRevision(std::uint64_t{number}); }
    bool Uint64(std::uint64_t number) { return endAtRevision(number); }
    bool Double(double number) { return endAtRevision(integerRevision(number)); }
    bool Key(const char* text, rapidjson::SizeType size, bool) {
        atRevision_ = depth_ == 1 && std::string_view{text, size} == kRevisionMember;
        return true;
    }
    bool StartObject() { return enter(); }
    bool StartArray() { return enter(); }
    bool EndObject(rapidjson::SizeType) { return leave(); }
    bool EndArray(rapidjson::SizeType) { return leave(); }

    std::optional<std::uint64_t> found() const { return found_; }

private:
    bool enter() {
        depth_++;
        return !atRevision_;
    }
    bool leave() {
        depth_--;
        return true;
    }
    bool endAtRevision(std::optional<std::uint64_t> number) {
        if (atRevision_) found_ = number;
        return !atRevision_;
    }

    std::size_t depth_ = 0;
    bool atRevision_ = false;
    std::optional<std::uint64_t> found_;
};

}  // namespace

std::optional<std::uint64_t> integerRevision(double number) {
    // 2^53: above it a double does not tell neighbouring integers apart.
    constexpr double kMaxExactInteger = 9007199254740992.0;
    if (!(number >= 0) || number > kMaxExactInteger || number != std::floor(number)) return std::nullopt;
    return static_cast<std::uint64_t>(number);
}

std::optional<std::uint64_t> revisionOfBody(std::string_view body) {
    rapidjson::MemoryStream text{body.data(), body.size()};
    rapidjson::Reader reader;
    RevisionFinder finder;
    reader.Parse<kFlags>(text, finder);
    return finder.found();
}

}  // namespace beechpoint::configuration
