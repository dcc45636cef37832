"""Slopes of cost against size, the input of docs/CAPACITY.md."""

from poplarhill_dev.slopes.fit import Point as Point
from poplarhill_dev.slopes.fit import Slope as Slope
from poplarhill_dev.slopes.fit import fit as fit
from poplarhill_dev.slopes.report import run_slopes as run_slopes
