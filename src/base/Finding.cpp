#include "base/Finding.h"

namespace bergamotweir {

std::string toText(const Findings &findings)
{
    std::string text;
    for (const Finding &finding : findings) {
        text += finding.place + ": " + finding.message;
        if (!finding.remedy.empty()) {
            text += "; write " + finding.remedy;
        }
        text += '\n';
    }
    return text;
}

} // namespace bergamotweir
