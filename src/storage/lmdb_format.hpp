/// Layout of the pages of an LMDB file (format 1, 64 bit, as LMDB 0.9 writes it; its mdb.c: MDB_page, MDB_node, MDB_db,
/// MDB_meta). Integers are in the machine's byte order.
///
///   pages 0 and 1   meta pages, written in turn; the one of the higher transaction is the newest state
///   other pages     branch and leaf pages of two B+ trees (the free list and the records), overflow pages of large values, or
///                   free. The free list's entries are lists of free pages, under the transaction that freed them
///
/// A branch or leaf page: header, then the offsets of its nodes (2 bytes each, to `lower`), unused bytes, the nodes (from `upper`).
#pragma once

#include <cstddef>
#include <cstdint>
#include <cstring>

namespace beechpoint::storage::lmdb_format {

using PageNumber = std::uint64_t;

inline constexpr std::uint32_t kMagic = 0xBEEFC0DE;
inline constexpr std::uint32_t kVersion = 1;
inline constexpr PageNumber kNoPage = ~PageNumber{0};  ///< root of an empty tree
inline constexpr PageNumber kMetaPages = 2;
inline constexpr std::size_t kMinPageBytes = 512;
inline constexpr std::size_t kMaxPageBytes = 65536;
inline constexpr int kMaxDepth = 32;

/// PageHeader::flags
inline constexpr std::uint16_t kBranch = 0x01, kLeaf = 0x02, kOverflow = 0x04, kMeta = 0x08;
/// NodeHeader::flags of a leaf: the value is on overflow pages.
inline constexpr std::uint16_t kBigData = 0x01;

struct PageHeader {
    PageNumber number;
    std::uint16_t pad;
    std::uint16_t flags;
    std::uint16_t lower;  // of an overflow page these two are the count of pages
    std::uint16_t upper;
};
static_assert(sizeof(PageHeader) == 16);

// Of a leaf, `low` and `high` are the value's size; of a branch, with `flags` on top, the child's page number.
struct NodeHeader {
    std::uint16_t low;
    std::uint16_t high;
    std::uint16_t flags;
    std::uint16_t keySize;
};
static_assert(sizeof(NodeHeader) == 8);

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

inline constexpr std::size_t kPageHeader = sizeof(PageHeader);
inline constexpr std::size_t kNodeHeader = sizeof(NodeHeader);
inline constexpr std::size_t kNodeOffset = sizeof(std::uint16_t);

/// The file's bytes may lie at any alignment.
template <class T>
[[nodiscard]] T readAs(const char* bytes) {
    T value;
    std::memcpy(&value, bytes, sizeof value);
    return value;
}

}  // namespace beechpoint::storage::lmdb_format
