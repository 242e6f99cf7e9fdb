#pragma once

#include "cli/Setting.h"

#include <cstdint>
#include <optional>
#include <string_view>

namespace bergamotweir::cli {

/** @return the number, or nothing if the text is not an unsigned decimal integer */
std::optional<std::uint64_t> toNumber(std::string_view text);

extern const ValueKind NameKind;
extern const ValueKind TextKind;
extern const ValueKind IpAddressKind;
extern const ValueKind PortKind;
extern const ValueKind EndpointKind;
extern const ValueKind EndpointsKind;
extern const ValueKind ReplicaAddressKind;
extern const ValueKind ReplicasKind;
extern const ValueKind PathKind;
extern const ValueKind NumberKind;
extern const ValueKind SecondsKind;
extern const ValueKind BaseKind;
extern const ValueKind LogLevelKind;
extern const ValueKind MarkKindKind;

} // namespace bergamotweir::cli
