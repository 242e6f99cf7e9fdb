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

/** What a crash may be blamed on. */
struct RequestContent {
    std::string_view service;
    std::string_view key;
    std::string_view method;
    std::string_view target;
    std::string_view body;
};

/** @return one number for all requests that are alike in service, key, method, target and body */
std::uint64_t fingerprint(const RequestContent &content);

/** A bounded set of fingerprints that forgets the one not noted for longest. */
struct RecentFingerprints {
    std::size_t capacity = 4096;
    std::list<std::uint64_t> order;
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> places;
};

void remember(RecentFingerprints &recent, std::uint64_t value);
void forget(RecentFingerprints &recent, std::uint64_t value);
bool contains(const RecentFingerprints &recent, std::uint64_t value);

/**
 * Finds the request that crashes upstreams among those that were in progress beside it.
 *
 * Guard against one request that takes down one upstream after another, since its caller sends it again. Every request
 * in progress at a first crash is suspected, but for those of a kind that was answered before: a crashing request never
 * is. Suspects then run one at a time at an upstream, so that a second crash has one suspect in progress; it alone is
 * blamed, and the innocents beside it aren't refused. One per agent.
 */
struct CrashTracker {
    /** Requests at the upstream, per fingerprint. */
    std::map<std::uint64_t, unsigned> inProgress;
    /** In progress at a crash here, or marked so by the agent that sent them. */
    RecentFingerprints suspects;
    /** Answered in whole by an upstream. */
    RecentFingerprints answered;
};

/** A request was in progress when its upstream's connection broke, as the agent that sent it saw. */
void markSuspect(CrashTracker &tracker, std::uint64_t value);

bool isSuspect(const CrashTracker &tracker, std::uint64_t value);

/** @return whether it may be dispatched now: not a suspect, or no suspect is in progress */
bool canRun(const CrashTracker &tracker, std::uint64_t value);

/** A request is dispatched. */
void recordBegin(CrashTracker &tracker, std::uint64_t value);

/** It ended at the upstream. @param answered whether with a whole answer, which clears its kind */
void recordEnd(CrashTracker &tracker, std::uint64_t value, bool answered);

/**
 * The upstream crashed.
 * @param broken the fingerprints of the requests whose connections broke with it, before recordEnd() is called for them
 * @param incarnation of the upstream that crashed
 * @param unixTime stated in the report
 * @return whom to report; empty when nobody is suspected
 */
wire::ReportCrash recordCrash(CrashTracker &tracker,
                              const std::set<std::uint64_t> &broken,
                              const std::string &incarnation,
                              std::chrono::milliseconds unixTime);

} // namespace bergamotweir::agent
