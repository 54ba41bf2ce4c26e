"""Least-squares fits of measured costs against sizes, with their spread."""

import statistics
from dataclasses import dataclass


@dataclass(frozen=True)
class Series:
    """One cost measured at several sizes.

    Attributes
    ----------
    name : str
        What was measured.
    x_unit, y_unit : str
        Units of the size and of the cost.
    points : mapping of float to tuple of float
        Costs of all rounds by size.
    """

    name: str
    x_unit: str
    y_unit: str
    points: dict


@dataclass(frozen=True)
class Fit:
    """A straight line through the medians of a series.

    Attributes
    ----------
    slope : float
        Cost for one more unit of size.
    intercept : float
        Cost at size 0.
    r_squared : float
        Share of the variance of the medians that the line explains.
    slope_low, slope_high : float
        Least and largest slope of the lines through single rounds.
    """

    slope: float
    intercept: float
    r_squared: float
    slope_low: float
    slope_high: float

    def predict(self, size):
        """Return the cost that the line gives for a size.

        Parameters
        ----------
        size : float
            The size.

        Returns
        -------
        float
            The cost.
        """
        return self.intercept + self.slope * size


def fit_series(series):
    """Return the line through the medians of a series.

    Parameters
    ----------
    series : Series
        At least two sizes, each with the same number of rounds.

    Returns
    -------
    Fit
        The line; its spread comes from one line for each round.
    """
    sizes = sorted(series.points)
    rounds = list(zip(*(series.points[size] for size in sizes), strict=True))
    medians = [statistics.median(series.points[size]) for size in sizes]
    slopes = [statistics.linear_regression(sizes, costs).slope for costs in rounds]
    slope, intercept = statistics.linear_regression(sizes, medians)
    return Fit(
        slope, intercept, _explain_variance(sizes, medians, slope, intercept),
        min(slopes), max(slopes),
    )  # fmt: skip


def _explain_variance(sizes, costs, slope, intercept):
    mean = statistics.fmean(costs)
    total = sum((cost - mean) ** 2 for cost in costs)
    if total == 0:
        return 1.0
    pairs = zip(sizes, costs, strict=True)
    rest = sum((cost - intercept - slope * size) ** 2 for size, cost in pairs)
    return 1.0 - rest / total


def format_fits(all_series):
    """Return a table of fits in Markdown.

    Parameters
    ----------
    all_series : iterable of Series
        The series.

    Returns
    -------
    str
        One row for each series.
    """
    lines = [
        "| series | sizes | slope | least to largest slope | at size 0 | R² |",
        "| --- | --- | --- | --- | --- | --- |",
    ]
    for series in all_series:
        fit = fit_series(series)
        sizes = ", ".join(f"{size:.4g}" for size in sorted(series.points))
        lines.append(
            f"| {series.name} | {sizes} {series.x_unit} "
            f"| {fit.slope:.3g} {series.y_unit} | {fit.slope_low:.3g} to "
            f"{fit.slope_high:.3g} | {fit.intercept:.3g} | {fit.r_squared:.3f} |"
        )
    return "\n".join(lines)
