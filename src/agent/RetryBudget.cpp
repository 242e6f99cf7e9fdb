#include "agent/RetryBudget.h"

#include <algorithm>

namespace bergamotweir::agent {

void deposit(RetryBudget &budget)
{
    budget.tokens = std::min(budget.maxTokens, budget.tokens + budget.ratio);
}

bool withdraw(RetryBudget &budget)
{
    if (budget.tokens < 1) {
        return false;
    }
    budget.tokens -= 1;
    return true;
}

} // namespace bergamotweir::agent
