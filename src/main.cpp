#include "cli/Context.h"
#include "cli/Run.h"

int main(int count, char **words)
{
    bergamotweir::cli::Context context = bergamotweir::cli::processContext();
    return bergamotweir::cli::run({words + 1, words + count}, context);
}
