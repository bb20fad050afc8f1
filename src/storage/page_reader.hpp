/// Reads pages of an LMDB file with every bound checked: nothing outside the file is read, whatever its numbers say.
/// A part of the page check (page_check.hpp).
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "storage/lmdb_format.hpp"

namespace beechpoint::storage {

/// The first thing found wrong. Thrown within the page check only: the walk over the trees is recursive, and nothing of it is
/// of use after a fault. findPageFault() turns it into a value.
struct PageFault {
    std::string text;
};

/// One entry of a branch or leaf page.
struct Node {
    std::string_view key;
    std::string_view value;             ///< of a leaf; the number of the overflow page when `big`
    std::uint64_t valueSize = 0;        ///< of a leaf
    lmdb_format::PageNumber child = 0;  ///< of a branch
    bool big = false;                   ///< the value is on overflow pages
};

/// A branch or leaf page whose header is sound.
struct TreePage {
    lmdb_format::PageNumber number = 0;
    const char* bytes = nullptr;
    bool isLeaf = false;
    std::size_t nodes = 0;
    std::size_t nodesBegin = 0;  ///< offset of the lowest node
};

/// A value on overflow pages.
struct OverflowValue {
    lmdb_format::PageNumber first = 0;
    std::uint64_t pages = 0;
    std::string_view bytes;
};

class PageReader {
public:
    /// Reads both meta pages. `file` must stay valid. Throws PageFault, as all methods do.
    explicit PageReader(std::string_view file);

    /// The newest state's meta page.
    [[nodiscard]] const lmdb_format::Meta& meta() const { return meta_; }
    /// Whether the state has a page of this number; meta pages are none.
    [[nodiscard]] bool isDataPage(lmdb_format::PageNumber number) const;

    [[nodiscard]] TreePage treePage(lmdb_format::PageNumber number) const;
    [[nodiscard]] Node node(const TreePage& page, std::size_t index) const;
    /// The value of a leaf's node that is `big`.
    [[nodiscard]] OverflowValue overflowValue(const Node& node) const;

private:
    lmdb_format::Meta metaAt(std::size_t offset, lmdb_format::PageNumber number) const;
    const char* page(lmdb_format::PageNumber number) const;
    void readLeafNode(const TreePage& page, std::size_t index, std::size_t offset, Node& node) const;

    std::string_view file_;
    std::size_t pageSize_ = 0;
    lmdb_format::Meta meta_{};
};

}  // namespace beechpoint::storage
