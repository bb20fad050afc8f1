#include "storage/page_check.hpp"

#include <fcntl.h>
#include <fmt/format.h>
#include <sys/mman.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdint>
#include <cstring>
#include <string_view>
#include <vector>

namespace beechpoint::storage {

namespace {

using PageNumber = std::uint64_t;

constexpr std::uint32_t kMagic = 0xBEEFC0DE;
constexpr std::uint32_t kVersion = 1;
constexpr PageNumber kNoPage = ~PageNumber{0};
constexpr PageNumber kMetaPages = 2;
constexpr std::size_t kPageHeader = 16;
constexpr std::size_t kNodeHeader = 8;
constexpr std::uint16_t kBranch = 0x01, kLeaf = 0x02, kOverflow = 0x04, kMeta = 0x08;
constexpr std::uint16_t kBigData = 0x01;  // a node whose value is on overflow pages
constexpr int kDeepest = 32;

struct PageHeader {
    PageNumber number;
    std::uint16_t pad;
    std::uint16_t flags;
    std::uint16_t lower;  // of an overflow page these two are the count of pages
    std::uint16_t upper;
};
static_assert(sizeof(PageHeader) == kPageHeader);

struct NodeHeader {
    std::uint16_t low;
    std::uint16_t high;
    std::uint16_t flags;
    std::uint16_t keySize;
};
static_assert(sizeof(NodeHeader) == kNodeHeader);

struct Tree {
    std::uint32_t pageSize;  // in the free list's tree only
    std::uint16_t flags;
    std::uint16_t depth;
    std::uint64_t branchPages;
    std::uint64_t leafPages;
    std::uint64_t overflowPages;
    std::uint64_t entries;
    PageNumber root;
};
static_assert(sizeof(Tree) == 48);

struct Meta {
    std::uint32_t magic;
    std::uint32_t version;
    std::uint64_t address;
    std::uint64_t mapSize;
    Tree freeList;
    Tree records;
    PageNumber lastPage;
    std::uint64_t transaction;
};
static_assert(sizeof(Meta) == 136);

struct Node {
    std::string_view key;
    std::string_view value;       // of a leaf; the number of the overflow page when `big`
    std::uint64_t valueSize = 0;  // of a leaf
    PageNumber child = 0;         // of a branch
    bool big = false;
};

struct Fault {
    std::string text;
};

template <class T>
T readAs(const char* at) {
    T value;
    std::memcpy(&value, at, sizeof value);
    return value;
}

// Walks the file; throws a Fault at the first thing that is wrong, which findPageFault turns into a value.
class Walk {
public:
    explicit Walk(std::string_view file) : file_(file) {}

    void run() {
        readMetas();
        used_.assign(meta_.lastPage + 1, false);
        used_[0] = used_[1] = true;
        walkTree(meta_.freeList, "free list", true);
        walkTree(meta_.records, "records", false);
        for (const PageNumber page : free_) useOnce(page, "a free page");
    }

private:
    struct Counts {
        std::uint64_t branchPages = 0, leafPages = 0, overflowPages = 0, entries = 0;
    };
    struct Descent {
        const char* name;
        bool freeList;
        std::uint16_t depth;
        Counts counts;
        std::string lastKey;
        bool hasLastKey = false;
    };

    [[noreturn]] static void fail(std::string text) { throw Fault{std::move(text)}; }

    void readMetas() {
        if (file_.size() < kPageHeader + sizeof(Meta)) fail("the file is too short for its header");
        meta_ = metaAt(0, 0);
        pageSize_ = meta_.freeList.pageSize;
        if (pageSize_ < 512 || pageSize_ > 65536 || (pageSize_ & (pageSize_ - 1)) != 0)
            fail(fmt::format("the page size {} is none", pageSize_));
        if (file_.size() < kMetaPages * pageSize_) fail("the file is too short for its two headers");
        const Meta second = metaAt(pageSize_, 1);
        if (second.freeList.pageSize != pageSize_) fail("the two headers differ in their page size");
        if (second.transaction > meta_.transaction) meta_ = second;
        if (meta_.lastPage + 1 < kMetaPages || meta_.lastPage >= file_.size() / pageSize_ + 1)
            fail(fmt::format("the last page {} is not in the file", meta_.lastPage));
    }

    Meta metaAt(std::size_t offset, PageNumber number) const {
        const auto header = readAs<PageHeader>(file_.data() + offset);
        const auto meta = readAs<Meta>(file_.data() + offset + kPageHeader);
        if (header.number != number || header.flags != kMeta || meta.magic != kMagic ||
            meta.version != kVersion)
            fail(fmt::format("header {} is not one of LMDB's", number));
        return meta;
    }

    const char* page(PageNumber number) const {
        if (number < kMetaPages || number > meta_.lastPage || (number + 1) * pageSize_ > file_.size())
            fail(fmt::format("page {} is not in the file", number));
        const char* const at = file_.data() + number * pageSize_;
        if (readAs<PageHeader>(at).number != number)
            fail(fmt::format("page {} bears another number", number));
        return at;
    }

    void useOnce(PageNumber number, const char* what) {
        if (number < kMetaPages || number > meta_.lastPage) fail(fmt::format("{} is not in the file", what));
        if (used_[number]) fail(fmt::format("page {} is used twice", number));
        used_[number] = true;
    }

    void walkTree(const Tree& tree, const char* name, bool freeList) {
        Descent descent{name, freeList, tree.depth, {}, {}, false};
        if (tree.depth > kDeepest) fail(fmt::format("the tree of {} is too deep", name));
        if (tree.root != kNoPage) walkPage(tree.root, 1, descent);
        const Counts& counts = descent.counts;
        if ((tree.root == kNoPage) != (tree.depth == 0) || counts.entries != tree.entries ||
            counts.branchPages != tree.branchPages || counts.leafPages != tree.leafPages ||
            counts.overflowPages != tree.overflowPages)
            fail(fmt::format("the tree of {} does not hold what its header says", name));
    }

    void walkPage(PageNumber number, int level, Descent& descent) {
        const char* const at = page(number);
        useOnce(number, "a page of a tree");
        const auto header = readAs<PageHeader>(at);
        const bool leaf = header.flags == kLeaf;
        if (!leaf && header.flags != kBranch) fail(fmt::format("page {} is of no known kind", number));
        if (leaf != (level == descent.depth)) fail(fmt::format("page {} lies at the wrong depth", number));
        if (header.lower < kPageHeader || header.lower > header.upper || header.upper > pageSize_ ||
            header.lower % 2)
            fail(fmt::format("page {} has impossible bounds", number));
        const std::size_t nodes = (header.lower - kPageHeader) / sizeof(std::uint16_t);
        if (nodes < (leaf ? 1u : 2u)) fail(fmt::format("page {} has too few entries", number));
        ++(leaf ? descent.counts.leafPages : descent.counts.branchPages);
        for (std::size_t index = 0; index < nodes; ++index) {
            const Node node = nodeAt(at, number, header, index, leaf);
            if (leaf)
                visitEntry(node, number, descent);
            else
                walkPage(node.child, level + 1, descent);
        }
    }

    Node nodeAt(const char* at, PageNumber number, const PageHeader& header, std::size_t index,
                bool leaf) const {
        const auto offset = readAs<std::uint16_t>(at + kPageHeader + index * sizeof(std::uint16_t));
        if (offset < header.upper || offset + kNodeHeader > pageSize_)
            fail(fmt::format("entry {} of page {} lies outside", index, number));
        const auto raw = readAs<NodeHeader>(at + offset);
        const std::uint64_t low = raw.low | static_cast<std::uint64_t>(raw.high) << 16;
        Node node;
        if (offset + kNodeHeader + raw.keySize > pageSize_)
            fail(fmt::format("the key of entry {} of page {} lies outside", index, number));
        node.key = {at + offset + kNodeHeader, raw.keySize};
        if (!leaf) {
            node.child = low | static_cast<std::uint64_t>(raw.flags) << 32;
            return node;
        }
        if ((raw.flags & ~kBigData) != 0)
            fail(fmt::format("entry {} of page {} is of no known kind", index, number));
        node.big = raw.flags == kBigData;
        node.valueSize = low;
        const std::uint64_t inPage = node.big ? sizeof(PageNumber) : node.valueSize;
        if (offset + kNodeHeader + raw.keySize + inPage > pageSize_)
            fail(fmt::format("the value of entry {} of page {} lies outside", index, number));
        node.value = {node.key.data() + node.key.size(), inPage};
        return node;
    }

    void visitEntry(const Node& node, PageNumber number, Descent& descent) {
        ++descent.counts.entries;
        checkOrder(node, number, descent);
        const std::string_view value = node.big ? overflow(node, descent) : node.value;
        if (descent.freeList) collectFree(value);
    }

    void checkOrder(const Node& node, PageNumber number, Descent& descent) const {
        if (descent.freeList && node.key.size() != sizeof(std::uint64_t))
            fail(fmt::format("page {} of the free list has a key of wrong size", number));
        const bool ordered =
            !descent.hasLastKey || (descent.freeList ? readAs<std::uint64_t>(descent.lastKey.data()) <
                                                           readAs<std::uint64_t>(node.key.data())
                                                     : std::string_view(descent.lastKey) < node.key);
        if (!ordered) fail(fmt::format("the keys of page {} are out of order", number));
        descent.lastKey = node.key;
        descent.hasLastKey = true;
    }

    std::string_view overflow(const Node& node, Descent& descent) {
        const auto first = readAs<PageNumber>(node.value.data());
        const char* const at = page(first);
        const auto header = readAs<PageHeader>(at);
        const std::uint64_t pages = header.lower | static_cast<std::uint64_t>(header.upper) << 16;
        if (header.flags != kOverflow) fail(fmt::format("page {} is no overflow page", first));
        if (pages != (kPageHeader + node.valueSize + pageSize_ - 1) / pageSize_)
            fail(fmt::format("the value at page {} has another size than its entry says", first));
        if (pages > meta_.lastPage || first + pages - 1 > meta_.lastPage ||
            (first + pages) * pageSize_ > file_.size())
            fail(fmt::format("the value at page {} is not in the file", first));
        for (std::uint64_t index = 0; index < pages; ++index) useOnce(first + index, "an overflow page");
        descent.counts.overflowPages += pages;
        return {at + kPageHeader, node.valueSize};
    }

    void collectFree(std::string_view list) {
        const std::uint64_t count =
            list.size() < sizeof(PageNumber) ? kNoPage : readAs<std::uint64_t>(list.data());
        if (count > meta_.lastPage || list.size() < (count + 1) * sizeof(PageNumber))
            fail("a list of free pages is longer than its entry");
        for (std::uint64_t index = 1; index <= count; ++index)
            free_.push_back(readAs<PageNumber>(list.data() + index * sizeof(PageNumber)));
    }

    std::string_view file_;
    std::size_t pageSize_ = 0;
    Meta meta_{};
    std::vector<bool> used_;
    std::vector<PageNumber> free_;
};

class MappedFile {
public:
    explicit MappedFile(const std::filesystem::path& file) {
        const int descriptor = ::open(file.c_str(), O_RDONLY | O_CLOEXEC);
        struct stat status {};
        if (descriptor >= 0 && ::fstat(descriptor, &status) == 0) {
            size_ = static_cast<std::size_t>(status.st_size);
            at_ = size_ == 0 ? nullptr : ::mmap(nullptr, size_, PROT_READ, MAP_SHARED, descriptor, 0);
            good_ = at_ != MAP_FAILED;
        }
        error_ = errno;
        if (descriptor >= 0) ::close(descriptor);
    }
    ~MappedFile() {
        if (good_ && at_) ::munmap(at_, size_);
    }
    MappedFile(const MappedFile&) = delete;
    MappedFile& operator=(const MappedFile&) = delete;

    bool good() const { return good_; }
    int error() const { return error_; }
    std::string_view bytes() const { return {static_cast<const char*>(at_), size_}; }

private:
    void* at_ = nullptr;
    std::size_t size_ = 0;
    bool good_ = false;
    int error_ = 0;
};

}  // namespace

Result<std::optional<std::string>> findPageFault(const std::filesystem::path& file) {
    const MappedFile mapped(file);
    if (!mapped.good())
        return Error{ErrorKind::storage, file.string(), std::strerror(mapped.error()), "check the disk"};
    try {
        Walk(mapped.bytes()).run();
    } catch (const Fault& fault) {
        return std::optional(fault.text);
    }
    return std::optional<std::string>();
}

}  // namespace beechpoint::storage
