#include "rpc/PackedMessage.h"

#include "rpc/Channel.h"

#include <zlib.h>

#include <string>

namespace bergamotweir::rpc {

namespace {

const Bytef *bytesOf(const std::string &text)
{
    return reinterpret_cast<const Bytef *>(text.data());
}

Bytef *bytesOf(std::string &text)
{
    return reinterpret_cast<Bytef *>(text.data());
}

} // namespace

std::shared_ptr<const wire::ControlMessage> pack(const wire::ControlMessage &message)
{
    const std::string plain = message.SerializeAsString();
    uLongf size = compressBound(plain.size());
    std::string compressed(size, '\0');
    if (compress(bytesOf(compressed), &size, bytesOf(plain), plain.size()) != Z_OK) {
        return nullptr;
    }
    compressed.resize(size);
    auto packed = std::make_shared<wire::ControlMessage>();
    packed->mutable_packed()->set_compressed(std::move(compressed));
    packed->mutable_packed()->set_bytes(static_cast<std::uint32_t>(plain.size()));
    return packed;
}

bool unpack(wire::ControlMessage &message)
{
    if (!message.has_packed()) {
        return true;
    }
    const wire::PackedMessage &packed = message.packed();
    if (packed.bytes() > static_cast<std::uint32_t>(MaxMessageBytes)) {
        return false;
    }
    std::string plain(packed.bytes(), '\0');
    uLongf size = plain.size();
    const std::string &compressed = packed.compressed();
    const bool isReadable =
        uncompress(bytesOf(plain), &size, bytesOf(compressed), compressed.size()) == Z_OK && size == plain.size();
    // A packed message must not contain another packed message.
    return isReadable && message.ParseFromString(plain) && !message.has_packed();
}

} // namespace bergamotweir::rpc
