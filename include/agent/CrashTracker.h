#pragma once

#include "base/BootClock.h"

#include <control.pb.h>

#include <cstdint>
#include <list>
#include <map>
#include <set>
#include <string_view>
#include <unordered_map>

namespace bergamotweir::agent {

/** The parts of a request that its fingerprint covers. */
struct RequestContent {
    std::string_view service;
    std::string_view key;
    std::string_view method;
    std::string_view target;
    std::string_view body;
};

/** @return a hash that is equal for requests with equal service, key, method, target and body */
std::uint64_t fingerprint(const RequestContent &content);

/** A bounded set of fingerprints that evicts the least recently remembered one. */
struct RecentFingerprints {
    std::size_t capacity = 4096;
    std::list<std::uint64_t> order;
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> positions;
};

void remember(RecentFingerprints &recent, std::uint64_t value);
void forget(RecentFingerprints &recent, std::uint64_t value);
bool contains(const RecentFingerprints &recent, std::uint64_t value);

/**
 * Identifies the request that crashes upstreams among those that were in progress at the time.
 *
 * Guards against one request that crashes one upstream after another because its caller keeps sending it. Every request
 * in progress at a first crash becomes a suspect, except those with a fingerprint that was answered before: a request
 * that crashes its upstream is never answered. Suspects then run one at a time at an upstream, so that at a second
 * crash only one suspect is in progress. Only that one is reported, and the other requests aren't refused. One per
 * agent.
 */
struct CrashTracker {
    /** Number of requests at the upstream, per fingerprint. */
    std::map<std::uint64_t, unsigned> inProgress;
    /** In progress at a crash here, or marked as suspects by the agent that sent them. */
    RecentFingerprints suspects;
    /** Answered completely by an upstream. */
    RecentFingerprints answered;
};

/** Marks a request that was in progress when its upstream's connection broke, as seen by the agent that sent it. */
void markSuspect(CrashTracker &tracker, std::uint64_t value);

bool isSuspect(const CrashTracker &tracker, std::uint64_t value);

/** @return whether the request may be dispatched now: it isn't a suspect, or no suspect is in progress */
bool canRun(const CrashTracker &tracker, std::uint64_t value);

/** Records the dispatch of a request. */
void recordBegin(CrashTracker &tracker, std::uint64_t value);

/** Records the end of a request. @param answered whether with a complete answer, which clears its fingerprint */
void recordEnd(CrashTracker &tracker, std::uint64_t value, bool answered);

/**
 * Records a crash of the upstream.
 * @param broken fingerprints of the requests whose connections broke in the crash; recordEnd() is called for them later
 * @param incarnation of the upstream that crashed
 * @param unixTime time given in the report
 * @return the suspects to report; empty when there are none
 */
wire::ReportCrash recordCrash(CrashTracker &tracker,
                              const std::set<std::uint64_t> &broken,
                              const std::string &incarnation,
                              std::chrono::milliseconds unixTime);

} // namespace bergamotweir::agent
