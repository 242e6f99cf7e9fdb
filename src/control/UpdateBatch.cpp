#include "control/UpdateBatch.h"

#include "table/RouteTable.h"

#include <algorithm>
#include <utility>

namespace bergamotweir::control {

namespace {

using Fingerprints = google::protobuf::RepeatedField<std::uint64_t>;

void erase(Fingerprints &from, const Fingerprints &values)
{
    const auto kept = std::remove_if(from.begin(), from.end(), [&values](std::uint64_t value) {
        return std::find(values.begin(), values.end(), value) != values.end();
    });
    from.erase(kept, from.end());
}

} // namespace

void add(UpdateBatch &batch, const wire::StateUpdate &update)
{
    // Within one message the releases are applied after the quarantined fingerprints, so a fingerprint must stand only
    // in the list of its latest change.
    erase(*batch.pending.mutable_quarantined(), update.released_from_quarantine());
    erase(*batch.pending.mutable_released_from_quarantine(), update.quarantined());
    wire::PutRoutes earlier;
    const bool hasEarlierRoutes = update.has_table() && batch.pending.table().has_routes_change();
    if (update.has_table()) {
        // The new table replaces the pending one; MergeFrom() would append to its lists. Changes of routes are joined.
        earlier = batch.pending.table().routes_change();
        batch.pending.clear_table();
    }
    batch.pending.MergeFrom(update);
    if (hasEarlierRoutes) {
        const wire::PutRoutes &later = update.table().routes_change();
        *batch.pending.mutable_table()->mutable_routes_change() =
            update.table().has_routes_change() ? table::joined(earlier, later) : earlier;
    }
    batch.empty = false;
}

bool movesSlices(const UpdateBatch &batch)
{
    return !batch.pending.services().empty();
}

wire::StateUpdate take(UpdateBatch &batch, BootTime now)
{
    batch.empty = true;
    batch.isIdle = false;
    batch.sentAt = now;
    return std::exchange(batch.pending, {});
}

} // namespace bergamotweir::control
