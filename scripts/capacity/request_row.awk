# Two snapshots side by side into one row. Fields of a snapshot: 1 time, 2 ticks,
# 3 RSS kB, 4 tokens, 5 answers, 6 platform calls, 7 platform bytes, 8 peer bytes.
{
	w = 8
	took = $(w + 1) - $1
	cpu = ($(w + 2) - $2) * 10 / took
	answers = ($(w + 5) - $5) / took
	split(idle, base, "\t")
	per = answers > 0 ? 1 / answers : 0
	printf "%d\t%s\t%s\t%s\t%.2f\t%.1f\t%.2f\t%.1f\t%.2f\t%.0f\t%.0f\t%.1f\t%.3f\t%.0f\n", hosts, kind, rate, load, cpu, $(w + 3) / 1024 / hosts, \
		answers, ($(w + 4) - $4) / took, ($(w + 6) - $6) / took, ($(w + 7) - $7) / took, ($(w + 8) - $8) / took, \
		(cpu - base[1]) * 1000 * per, (($(w + 6) - $6) / took - base[2]) * per, (($(w + 7) - $7) / took - base[3]) * per
}
