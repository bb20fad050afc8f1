#include "storage/page_check.hpp"

#include <fmt/format.h>

#include <cstdint>
#include <cstring>
#include <string_view>
#include <utility>
#include <vector>

#include "storage/lmdb_format.hpp"
#include "storage/mapped_file.hpp"
#include "storage/page_reader.hpp"

namespace beechpoint::storage {

namespace {

using namespace lmdb_format;

enum class TreeKind { freeList, records };

// Walks over both trees and the free list. Invariant: no page is used twice.
class PageWalk {
public:
    explicit PageWalk(std::string_view file) : reader_(file), used_(reader_.meta().lastPage + 1, false) {
        for (PageNumber number = 0; number < kMetaPages; ++number) used_[number] = true;
    }

    void run() {
        walkTree(reader_.meta().freeList, TreeKind::freeList);
        walkTree(reader_.meta().records, TreeKind::records);
        for (const PageNumber number : freePages_) useOnce(number, "a free page");
    }

private:
    struct Counts {
        std::uint64_t branchPages = 0, leafPages = 0, overflowPages = 0, entries = 0;

        bool match(const Tree& tree) const {
            return entries == tree.entries && branchPages == tree.branchPages &&
                   leafPages == tree.leafPages && overflowPages == tree.overflowPages;
        }
    };
    // What one tree's walk has come to.
    struct Descent {
        TreeKind kind = TreeKind::records;
        std::uint16_t depth = 0;
        Counts counts;
        std::optional<std::string> lastKey;
    };

    void useOnce(PageNumber number, const char* what) {
        if (!reader_.isDataPage(number)) throw PageFault{fmt::format("{} is not in the file", what)};
        if (used_[number]) throw PageFault{fmt::format("page {} is used twice", number)};
        used_[number] = true;
    }

    void walkTree(const Tree& tree, TreeKind kind) {
        const char* const name = kind == TreeKind::freeList ? "free list" : "records";
        if (tree.depth > kMaxDepth) throw PageFault{fmt::format("the tree of {} is too deep", name)};
        Descent descent;
        descent.kind = kind;
        descent.depth = tree.depth;
        const bool isEmpty = tree.root == kNoPage;
        if (!isEmpty) walkPage(tree.root, 1, descent);
        if (isEmpty != (tree.depth == 0) || !descent.counts.match(tree))
            throw PageFault{fmt::format("the tree of {} does not hold what its header says", name)};
    }

    // The recursion ends at kMaxDepth: pages above tree.depth must be branches, and the one at it a leaf.
    void walkPage(PageNumber number, int level, Descent& descent) {
        const TreePage page = reader_.treePage(number);
        useOnce(number, "a page of a tree");
        if (page.isLeaf != (level == descent.depth))
            throw PageFault{fmt::format("page {} lies at the wrong depth", number)};
        std::uint64_t& pages = page.isLeaf ? descent.counts.leafPages : descent.counts.branchPages;
        ++pages;
        for (std::size_t index = 0; index < page.nodes; ++index) {
            const Node node = reader_.node(page, index);
            if (page.isLeaf)
                visitEntry(node, number, descent);
            else
                walkPage(node.child, level + 1, descent);
        }
    }

    void visitEntry(const Node& node, PageNumber number, Descent& descent) {
        ++descent.counts.entries;
        checkOrder(node, number, descent);
        const std::string_view value = node.big ? useOverflowPages(node, descent) : node.value;
        if (descent.kind == TreeKind::freeList) collectFreePages(value);
    }

    // Keys of the free list are transactions and ordered as numbers; those of records are ordered as bytes.
    static void checkOrder(const Node& node, PageNumber number, Descent& descent) {
        const bool isFreeList = descent.kind == TreeKind::freeList;
        if (isFreeList && node.key.size() != sizeof(std::uint64_t))
            throw PageFault{fmt::format("page {} of the free list has a key of wrong size", number)};
        if (descent.lastKey && !isBefore(*descent.lastKey, node.key, descent.kind))
            throw PageFault{fmt::format("the keys of page {} are out of order", number)};
        descent.lastKey = node.key;
    }

    static bool isBefore(std::string_view key, std::string_view next, TreeKind kind) {
        if (kind == TreeKind::records) return key < next;
        return readAs<std::uint64_t>(key.data()) < readAs<std::uint64_t>(next.data());
    }

    std::string_view useOverflowPages(const Node& node, Descent& descent) {
        const OverflowValue value = reader_.overflowValue(node);
        for (std::uint64_t index = 0; index < value.pages; ++index)
            useOnce(value.first + index, "an overflow page");
        descent.counts.overflowPages += value.pages;
        return value.bytes;
    }

    // A list is its length and then page numbers.
    void collectFreePages(std::string_view list) {
        const std::uint64_t count =
            list.size() < sizeof(PageNumber) ? kNoPage : readAs<std::uint64_t>(list.data());
        if (count > reader_.meta().lastPage || list.size() < (count + 1) * sizeof(PageNumber))
            throw PageFault{"a list of free pages is longer than its entry"};
        for (std::uint64_t index = 1; index <= count; ++index)
            freePages_.push_back(readAs<PageNumber>(list.data() + index * sizeof(PageNumber)));
    }

    PageReader reader_;
    std::vector<bool> used_;
    std::vector<PageNumber> freePages_;
};

}  // namespace

Result<std::optional<std::string>> findPageFault(const std::filesystem::path& file) {
    const MappedFile mapped(file);
    if (!mapped.good())
        return Error{ErrorKind::storage, file.string(), std::strerror(mapped.error()), "check the disk"};
    try {
        PageWalk(mapped.bytes()).run();
    } catch (const PageFault& fault) {
        return std::optional(fault.text);
    }
    return std::optional<std::string>();
}

}  // namespace beechpoint::storage
