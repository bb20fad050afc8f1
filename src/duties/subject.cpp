#include "duties/subject.hpp"

#include <string_view>

namespace beechpoint::duties {
namespace {

std::string escaped(std::string_view name) {
    std::string text;
    for (const char character : name) {
        if (character == '%')
            text += "%25";
        else if (character == '/')
            text += "%2F";
        else
            text += character;
    }
    return text;
}

}  // namespace

std::string keyOf(const Subject& subject) {
    if (subject.duty == Duty::usage) return "usage";
    return "scaling/" + escaped(subject.service) + "/" + escaped(subject.zone);
}

}  // namespace beechpoint::duties
