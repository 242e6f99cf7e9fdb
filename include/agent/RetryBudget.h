#pragma once

namespace bergamotweir::agent {

/**
 * What a service may spend on sending requests a second time: a fixed part of its first sends.
 * Guard against retry storms. They show when a slow service receives several times its callers' load, since each
 * caller's failure is sent again. With a budget of a twentieth, load can't grow by more
 * than a twentieth.
 * One per service and use (retries, hedges), owned by the agent process.
 */
struct RetryBudget {
    /** Earned by each first send. */
    double ratio = 0.05;
    /** Most that can be saved up, so that a quiet hour doesn't pay for a storm. */
    double maxTokens = 10;
    double tokens = 10;
};

/** Notes a first send. */
void deposit(RetryBudget &budget);

/** Takes one second send out of the budget. @return false when nothing is left; nothing is taken then */
bool withdraw(RetryBudget &budget);

} // namespace bergamotweir::agent
