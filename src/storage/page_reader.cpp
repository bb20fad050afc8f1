#include "storage/page_reader.hpp"

#include <fmt/format.h>

namespace beechpoint::storage {

using namespace lmdb_format;

PageReader::PageReader(std::string_view file) : file_(file) {
    if (file_.size() < kPageHeader + sizeof(Meta)) throw PageFault{"the file is too short for its header"};
    meta_ = metaAt(0, 0);
    pageSize_ = meta_.freeList.pageSize;
    const bool isPowerOfTwo = (pageSize_ & (pageSize_ - 1)) == 0;
    if (pageSize_ < kMinPageBytes || pageSize_ > kMaxPageBytes || !isPowerOfTwo)
        throw PageFault{fmt::format("the page size {} is none", pageSize_)};
    if (file_.size() < kMetaPages * pageSize_) throw PageFault{"the file is too short for its two headers"};
    const Meta second = metaAt(pageSize_, 1);
    if (second.freeList.pageSize != pageSize_) throw PageFault{"the two headers differ in their page size"};
    if (second.transaction > meta_.transaction) meta_ = second;
    if (meta_.lastPage + 1 < kMetaPages || meta_.lastPage >= file_.size() / pageSize_ + 1)
        throw PageFault{fmt::format("the last page {} is not in the file", meta_.lastPage)};
}

Meta PageReader::metaAt(std::size_t offset, PageNumber number) const {
    const auto header = readAs<PageHeader>(file_.data() + offset);
    const auto meta = readAs<Meta>(file_.data() + offset + kPageHeader);
    const bool isMeta = header.number == number && header.flags == kMeta;
    if (!isMeta || meta.magic != kMagic || meta.version != kVersion)
        throw PageFault{fmt::format("header {} is not one of LMDB's", number)};
    return meta;
}

bool PageReader::isDataPage(PageNumber number) const {
    return number >= kMetaPages && number <= meta_.lastPage;
}

const char* PageReader::page(PageNumber number) const {
    if (!isDataPage(number) || (number + 1) * pageSize_ > file_.size())
        throw PageFault{fmt::format("page {} is not in the file", number)};
    const char* const bytes = file_.data() + number * pageSize_;
    if (readAs<PageHeader>(bytes).number != number)
        throw PageFault{fmt::format("page {} bears another number", number)};
    return bytes;
}

TreePage PageReader::treePage(PageNumber number) const {
    TreePage tree;
    tree.number = number;
    tree.bytes = page(number);
    const auto header = readAs<PageHeader>(tree.bytes);
    tree.isLeaf = header.flags == kLeaf;
    if (!tree.isLeaf && header.flags != kBranch)
        throw PageFault{fmt::format("page {} is of no known kind", number)};
    const bool inOrder =
        header.lower >= kPageHeader && header.lower <= header.upper && header.upper <= pageSize_;
    if (!inOrder || header.lower % kNodeOffset != 0)
        throw PageFault{fmt::format("page {} has impossible bounds", number)};
    tree.nodes = (header.lower - kPageHeader) / kNodeOffset;
    tree.nodesBegin = header.upper;
    const std::size_t minNodes = tree.isLeaf ? 1 : 2;
    if (tree.nodes < minNodes) throw PageFault{fmt::format("page {} has too few entries", number)};
    return tree;
}

Node PageReader::node(const TreePage& page, std::size_t index) const {
    const auto offset = readAs<std::uint16_t>(page.bytes + kPageHeader + index * kNodeOffset);
    if (offset < page.nodesBegin || offset + kNodeHeader > pageSize_)
        throw PageFault{fmt::format("entry {} of page {} lies outside", index, page.number)};
    const auto header = readAs<NodeHeader>(page.bytes + offset);
    if (offset + kNodeHeader + header.keySize > pageSize_)
        throw PageFault{fmt::format("the key of entry {} of page {} lies outside", index, page.number)};
    Node node;
    node.key = {page.bytes + offset + kNodeHeader, header.keySize};
    const std::uint64_t low = header.low | static_cast<std::uint64_t>(header.high) << 16;
    if (page.isLeaf) {
        node.valueSize = low;
        readLeafNode(page, index, offset, node);
    } else {
        node.child = low | static_cast<std::uint64_t>(header.flags) << 32;
    }
    return node;
}

void PageReader::readLeafNode(const TreePage& page, std::size_t index, std::size_t offset, Node& node) const {
    const auto header = readAs<NodeHeader>(page.bytes + offset);
    if ((header.flags & ~kBigData) != 0)
        throw PageFault{fmt::format("entry {} of page {} is of no known kind", index, page.number)};
    node.big = header.flags == kBigData;
    const std::uint64_t bytesInPage = node.big ? sizeof(PageNumber) : node.valueSize;
    if (offset + kNodeHeader + header.keySize + bytesInPage > pageSize_)
        throw PageFault{fmt::format("the value of entry {} of page {} lies outside", index, page.number)};
    node.value = {node.key.data() + node.key.size(), bytesInPage};
}

OverflowValue PageReader::overflowValue(const Node& node) const {
    OverflowValue value;
    value.first = readAs<PageNumber>(node.value.data());
    const char* const bytes = page(value.first);
    const auto header = readAs<PageHeader>(bytes);
    value.pages = header.lower | static_cast<std::uint64_t>(header.upper) << 16;
    if (header.flags != kOverflow) throw PageFault{fmt::format("page {} is no overflow page", value.first)};
    if (value.pages != (kPageHeader + node.valueSize + pageSize_ - 1) / pageSize_)
        throw PageFault{
            fmt::format("the value at page {} has another size than its entry says", value.first)};
    const bool inState = value.pages <= meta_.lastPage && value.first + value.pages - 1 <= meta_.lastPage;
    if (!inState || (value.first + value.pages) * pageSize_ > file_.size())
        throw PageFault{fmt::format("the value at page {} is not in the file", value.first)};
    value.bytes = {bytes + kPageHeader, node.valueSize};
    return value;
}

}  // namespace beechpoint::storage
