#include "control/RouteStore.h"

#include "table/KeyDigest.h"
#include "table/RouteTable.h"

namespace bergamotweir::control {

namespace {

void addFinding(wire::OperatorReply &reply, const Finding &finding)
{
    wire::FindingText &text = *reply.add_findings();
    text.set_place(finding.place);
    text.set_message(finding.message);
    text.set_remedy(finding.remedy);
}

wire::OperatorReply makeReply(wire::OperatorStatus status, std::uint64_t revision)
{
    wire::OperatorReply result;
    result.set_status(status);
    result.set_table_version(revision);
    return result;
}

} // namespace

wire::OperatorReply RouteStore::put(const wire::PutRoutes &change)
{
    if (const auto known = this->revisionByHash.find(change.content_hash()); known != this->revisionByHash.end()) {
        return makeReply(wire::OPERATOR_STATUS_DONE, known->second);
    }
    if (change.base_revision() != this->current.revision()) {
        wire::OperatorReply conflict = makeReply(wire::OPERATOR_STATUS_CONFLICT, this->current.revision());
        addFinding(conflict, {"base revision", "another one is in force", "the one in force"});
        return conflict;
    }
    wire::PutRoutes digested = change;
    wire::RouteTable &digestedTable = *digested.mutable_table();
    if (this->current.digest_key().size() == table::DigestKeyBytes) {
        digestedTable.set_digest_key(this->current.digest_key());
    }
    Findings findings = table::digestKeys(digestedTable, digestedTable.digest_key());
    wire::RouteTable proposed = change.partial() ? table::merged(this->current, digested) : digestedTable;
    for (Finding &finding : table::validateRoutes(proposed)) {
        findings.push_back(std::move(finding));
    }
    if (proposed.revision() <= this->current.revision()) {
        findings.push_back({"revision", "is not above the one in force", "a higher one"});
    }
    if (!findings.empty()) {
        wire::OperatorReply refused = makeReply(wire::OPERATOR_STATUS_BAD_INPUT, this->current.revision());
        for (const Finding &finding : findings) {
            addFinding(refused, finding);
        }
        return refused;
    }
    this->current = std::move(proposed);
    this->recordAccepted(change.content_hash(), this->current.revision());
    return makeReply(wire::OPERATOR_STATUS_DONE, this->current.revision());
}

const wire::RouteTable &RouteStore::routes() const
{
    return this->current;
}

void RouteStore::save(wire::StateSnapshot &to) const
{
    *to.mutable_routes() = this->current;
    for (const wire::AcceptedRoutes &entry : this->accepted) {
        *to.add_accepted_routes() = entry;
    }
}

void RouteStore::restore(const wire::StateSnapshot &from)
{
    *this = RouteStore();
    this->current = from.routes();
    for (const wire::AcceptedRoutes &entry : from.accepted_routes()) {
        this->recordAccepted(entry.content_hash(), entry.revision());
    }
}

void RouteStore::recordAccepted(std::uint64_t contentHash, std::uint64_t revision)
{
    wire::AcceptedRoutes entry;
    entry.set_content_hash(contentHash);
    entry.set_revision(revision);
    this->accepted.push_back(entry);
    this->revisionByHash[contentHash] = revision;
    if (this->accepted.size() > MaxAccepted) {
        this->revisionByHash.erase(this->accepted.front().content_hash());
        this->accepted.pop_front();
    }
}

} // namespace bergamotweir::control
