#include "control/TableHistory.h"

#include "table/RowDifference.h"

#include <algorithm>
#include <cassert>
#include <xxhash.h>

namespace bergamotweir::control {

namespace {

std::uint64_t hashOf(const std::string &text, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

std::uint64_t contentHash(const wire::PutTable &change)
{
    return hashOf(change.csv(), change.base_version());
}

std::uint64_t contentHash(const wire::Mark &change)
{
    constexpr std::uint64_t MarkSeed = 0x6d61726b;
    const std::string text = std::to_string(change.kind()) + (change.in_service() ? "+" : "-") + change.name();
    return hashOf(text, MarkSeed);
}

void addFinding(wire::OperatorReply &reply, Finding finding)
{
    wire::FindingText &text = *reply.add_findings();
    text.set_place(std::move(finding.place));
    text.set_message(std::move(finding.message));
    text.set_remedy(std::move(finding.remedy));
}

wire::OperatorReply refusal(wire::OperatorStatus status, Finding finding)
{
    wire::OperatorReply reply;
    reply.set_status(status);
    addFinding(reply, std::move(finding));
    return reply;
}

wire::OperatorReply doneReply(const wire::Version &version, std::uint64_t tableVersion)
{
    wire::OperatorReply reply;
    reply.set_status(wire::OPERATOR_STATUS_DONE);
    *reply.mutable_version() = version;
    reply.set_table_version(tableVersion);
    return reply;
}

std::string markText(const wire::Mark &change)
{
    const char *kind = change.kind() == wire::MARK_KIND_UPSTREAM ? "upstream " : "failure domain ";
    return kind + change.name() + (change.in_service() ? " in" : " out");
}

} // namespace

wire::OperatorReply TableHistory::put(const wire::Version &version, const wire::PutTable &change)
{
    wire::OperatorReply reply;
    const std::uint64_t content = contentHash(change);
    if (this->answerResend(change.change_id(), content, reply)) {
        return reply;
    }
    Result<table::Table> parsed = table::Table::parse(change.csv());
    if (!parsed) {
        reply.set_status(wire::OPERATOR_STATUS_BAD_INPUT);
        for (const Finding &finding : parsed.error()) {
            addFinding(reply, finding);
        }
        return reply;
    }
    if (change.base_version() != this->tableVersion()) {
        return this->conflict(change, parsed.value());
    }
    const std::size_t differingRows = table::differences(this->current, parsed.value()).size();
    this->current = parsed.value().withRoutes(this->current.routes());
    wire::TableText text;
    text.set_table_version(this->tableVersion() + 1);
    text.set_csv(change.csv());
    text.set_author(change.author());
    text.set_change_id(change.change_id());
    this->tables.push_back(std::move(text));
    this->dropOldTables();
    wire::ChangeRecord record;
    record.set_change_id(change.change_id());
    record.set_content_hash(content);
    *record.mutable_version() = version;
    record.mutable_entry()->set_author(change.author());
    record.mutable_entry()->set_unix_ms(change.unix_ms());
    record.mutable_entry()->set_what("table, " + std::to_string(differingRows) + " rows differ");
    this->recordChange(std::move(record));
    return doneReply(version, this->tableVersion());
}

wire::OperatorReply TableHistory::putRoutes(const wire::Version &version, const wire::PutRoutes &change)
{
    const std::uint64_t before = this->routeStore.routes().revision();
    wire::OperatorReply reply = this->routeStore.put(change);
    if (this->routeStore.routes().revision() != before) {
        this->current = this->current.withRoutes(table::RouteTable(this->routeStore.routes()));
    }
    *reply.mutable_version() = version;
    return reply;
}

const wire::RouteTable &TableHistory::routes() const
{
    return this->routeStore.routes();
}

wire::OperatorReply TableHistory::mark(const wire::Version &version, const wire::Mark &change)
{
    wire::OperatorReply reply;
    const std::uint64_t content = contentHash(change);
    if (this->answerResend(change.change_id(), content, reply)) {
        return reply;
    }
    if (change.name().empty() || change.name().size() > table::MaxNameLength) {
        return refusal(wire::OPERATOR_STATUS_BAD_INPUT, {"name", "is empty or too long", "a name of the table"});
    }
    const bool isUpstream = change.kind() == wire::MARK_KIND_UPSTREAM;
    std::set<std::string> &out = isUpstream ? this->currentMarks.upstreamsOut : this->currentMarks.failureDomainsOut;
    if (change.in_service()) {
        out.erase(change.name());
    } else {
        out.insert(change.name());
    }
    wire::ChangeRecord record;
    record.set_change_id(change.change_id());
    record.set_content_hash(content);
    *record.mutable_version() = version;
    record.mutable_entry()->set_author(change.author());
    record.mutable_entry()->set_unix_ms(change.unix_ms());
    record.mutable_entry()->set_what(markText(change));
    this->recordChange(std::move(record));
    return doneReply(version, this->tableVersion());
}

const table::Table &TableHistory::table() const
{
    return this->current;
}

std::uint64_t TableHistory::tableVersion() const
{
    return this->tables.empty() ? 0 : this->tables.back().table_version();
}

const table::Marks &TableHistory::marks() const
{
    return this->currentMarks;
}

const wire::TableText *TableHistory::text(std::uint64_t tableVersion) const
{
    const std::uint64_t requestedVersion = tableVersion == 0 ? this->tableVersion() : tableVersion;
    const auto found = std::find_if(this->tables.begin(), this->tables.end(), [&](const wire::TableText &text) {
        return text.table_version() == requestedVersion;
    });
    return found == this->tables.end() ? nullptr : &*found;
}

std::vector<wire::HistoryEntry> TableHistory::history(std::size_t maxEntries) const
{
    std::vector<wire::HistoryEntry> entries;
    for (auto record = this->changes.rbegin(); record != this->changes.rend() && entries.size() < maxEntries;
         ++record) {
        entries.push_back(record->entry());
    }
    return entries;
}

wire::TableInForce TableHistory::inForce() const
{
    wire::TableInForce inForce;
    inForce.set_table_version(this->tableVersion());
    if (!this->tables.empty()) {
        inForce.set_csv(this->tables.back().csv());
    }
    for (const std::string &name : this->currentMarks.failureDomainsOut) {
        inForce.add_failure_domains_out(name);
    }
    for (const std::string &name : this->currentMarks.upstreamsOut) {
        inForce.add_upstreams_out(name);
    }
    return inForce;
}

void TableHistory::save(wire::StateSnapshot &to) const
{
    for (const wire::TableText &text : this->tables) {
        *to.add_tables() = text;
    }
    for (const wire::ChangeRecord &record : this->changes) {
        *to.add_changes() = record;
    }
    this->routeStore.save(to);
    for (const std::string &name : this->currentMarks.failureDomainsOut) {
        to.add_failure_domains_out(name);
    }
    for (const std::string &name : this->currentMarks.upstreamsOut) {
        to.add_upstreams_out(name);
    }
}

void TableHistory::restore(const wire::StateSnapshot &from)
{
    *this = TableHistory();
    this->tables.assign(from.tables().begin(), from.tables().end());
    for (const wire::ChangeRecord &record : from.changes()) {
        this->changeNumberById[record.change_id()] = this->changes.size();
        this->changes.push_back(record);
    }
    this->currentMarks.failureDomainsOut.insert(from.failure_domains_out().begin(), from.failure_domains_out().end());
    this->currentMarks.upstreamsOut.insert(from.upstreams_out().begin(), from.upstreams_out().end());
    if (!this->tables.empty()) {
        Result<table::Table> parsed = table::Table::parse(this->tables.back().csv());
        assert(parsed.has_value());
        this->current = std::move(parsed).value();
    }
    this->routeStore.restore(from);
    this->current = this->current.withRoutes(table::RouteTable(this->routeStore.routes()));
}

bool TableHistory::answerResend(const std::string &changeId, std::uint64_t content, wire::OperatorReply &reply) const
{
    if (changeId.empty()) {
        reply = refusal(wire::OPERATOR_STATUS_BAD_INPUT, {"change id", "is missing", "--change-id ID"});
        return true;
    }
    const auto found = this->changeNumberById.find(changeId);
    if (found == this->changeNumberById.end()) {
        return false;
    }
    const wire::ChangeRecord &record = this->changes[found->second - this->droppedChanges];
    if (record.content_hash() == content) {
        reply = doneReply(record.version(), record.entry().table_version());
        return true;
    }
    reply = refusal(wire::OPERATOR_STATUS_CONFLICT,
                    {"change id " + changeId, "was used for another change", "another change id"});
    reply.set_table_version(this->tableVersion());
    return true;
}

void TableHistory::recordChange(wire::ChangeRecord record)
{
    record.mutable_entry()->set_table_version(this->tableVersion());
    record.mutable_entry()->set_change_id(record.change_id());
    this->changeNumberById[record.change_id()] = this->droppedChanges + this->changes.size();
    this->changes.push_back(std::move(record));
    if (this->changes.size() > MaxChanges) {
        this->changeNumberById.erase(this->changes.front().change_id());
        this->changes.pop_front();
        ++this->droppedChanges;
    }
}

void TableHistory::dropOldTables()
{
    std::size_t bytes = 0;
    for (const wire::TableText &text : this->tables) {
        bytes += text.csv().size();
    }
    while (this->tables.size() > 1 && (this->tables.size() > MaxTables || bytes > MaxStoredTableBytes)) {
        bytes -= this->tables.front().csv().size();
        this->tables.pop_front();
    }
}

wire::OperatorReply TableHistory::conflict(const wire::PutTable &change, const table::Table &proposed) const
{
    const std::string place = "base version " + std::to_string(change.base_version());
    const std::string newest = std::to_string(this->tableVersion());
    const std::string by = this->tables.empty() ? "nobody" : this->tables.back().author();
    wire::OperatorReply reply = refusal(wire::OPERATOR_STATUS_CONFLICT,
                                        {place, "version " + newest + " by " + by + " won", "--base " + newest});
    reply.set_table_version(this->tableVersion());
    const std::vector<table::RowDifference> differing = table::differences(this->current, proposed);
    for (std::size_t row = 0; row < std::min(differing.size(), MaxNamedRows); ++row) {
        addFinding(reply, {"differing row", table::toText(differing[row]), {}});
    }
    if (differing.size() > MaxNamedRows) {
        addFinding(reply, {"differing row", std::to_string(differing.size() - MaxNamedRows) + " more differ", {}});
    }
    return reply;
}

} // namespace bergamotweir::control
